package org.copperspindle.membership;

import org.copperspindle.wire.WireMessage;

/**
 * Hears what control says to one member. Called on the decision ring.
 */
public interface ControlLinkListener {

    /**
     * Configuration or membership changed.
     *
     * @param update the change
     */
    void onUpdate(ControlUpdateMessage update);

    /**
     * The member may or may not serve from now on.
     *
     * @param held whether the lease is held
     */
    void onLease(boolean held);

    /**
     * Any other message of the leader.
     *
     * @param message the message
     */
    void onReply(WireMessage message);

    /**
     * The leader answered a renewal.
     *
     * @param term its term
     */
    default void onTerm(long term) {
        // only agents carry out a leader's orders
    }

    /**
     * The lease was prolonged with a part of every account's rate.
     *
     * @param fraction from 0 to 1, to be used only while the lease is held
     */
    default void onRateShare(double fraction) {
        // only entries admit callers' requests
    }

    /**
     * Control knows a newer life of this member's upstream, though this one has not held a lease yet: the clock that
     * numbers lives was set back. The member goes on under a larger incarnation.
     *
     * @param known newest incarnation that control knows
     */
    default void onNewerIncarnation(long known) {
        // only agents announce incarnations
    }
}
