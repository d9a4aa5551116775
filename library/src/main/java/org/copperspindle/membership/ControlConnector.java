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
     * @param target   where to
     * @param listener receives the events
     * @param failed   run on the decision thread if no connection came about
     */
    void connect(InetSocketAddress target, PeerListener listener, Runnable failed);
}
