package org.copperspindle.membership;

import org.copperspindle.wire.WireMessage;

/**
 * Receives updates, changes of the lease and replies from the control leader. Called on the decision ring.
 */
public interface ControlLinkListener {

    /**
     * Called when configuration or membership changed.
     *
     * @param update the change
     */
    void onUpdate(ControlUpdateMessage update);

    /**
     * Called when the lease was acquired or lost; the member may serve only while it is held.
     *
     * @param held whether the lease is held
     */
    void onLease(boolean held);

    /**
     * Called for any other message of the leader.
     *
     * @param message the message
     */
    void onReply(WireMessage message);

    /**
     * Called when the leader answered a renewal.
     *
     * @param term its term
     */
    default void onTerm(long term) {
        // Only agents execute a leader's orders.
    }

    /**
     * Called when the lease was renewed with a share of every account's rate.
     *
     * @param fraction share from 0 to 1, to be used only while the lease is held
     */
    default void onRateShare(double fraction) {
        // Only entries admit callers' requests.
    }

    /**
     * Called when control knows a newer incarnation of this member's upstream although this one has not held a lease
     * yet: the clock that numbers incarnations was set back. The member continues under a larger incarnation.
     *
     * @param known newest incarnation that control knows
     */
    default void onNewerIncarnation(long known) {
        // Only agents announce incarnations.
    }
}
