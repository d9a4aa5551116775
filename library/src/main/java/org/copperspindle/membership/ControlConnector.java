package org.copperspindle.membership;

import java.net.InetSocketAddress;

import org.copperspindle.wire.PeerListener;

/**
 * Opens connections to control members.
 */
interface ControlConnector {

    /**
     * Connects.
     *
     * @param target   address of the control member
     * @param listener receives the events
     * @param failed   run on the decision thread if the connection fails
     */
    void connect(InetSocketAddress target, PeerListener listener, Runnable failed);
}
