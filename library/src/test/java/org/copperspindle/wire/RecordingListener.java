package org.copperspindle.wire;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records the events of one side. Can refuse events, as a full decision ring does.
 */
final class RecordingListener implements PeerListener {

    final List<String> events = new CopyOnWriteArrayList<>();
    /** One in this many offers is accepted. */
    volatile int acceptOneIn = 1;

    volatile int refusals;
    volatile Peer peer;
    private int offers;

    @Override
    public boolean onOpen(Peer opened) {
        peer = opened;
        return accept("open");
    }

    @Override
    public boolean onMessage(Peer from, WireMessage message) {
        return accept(String.valueOf(((NumberMessage) message).number()));
    }

    @Override
    public boolean onClose(Peer closed) {
        return accept("close");
    }

    private boolean accept(String event) {
        offers++;
        if (offers % acceptOneIn != 0) {
            refusals++;
            return false;
        }
        events.add(event);
        return true;
    }
}
