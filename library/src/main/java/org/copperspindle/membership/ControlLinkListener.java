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
}
