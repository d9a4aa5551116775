package org.copperspindle.wire;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Writes down the events of one side, and refuses them while told to, as a full ring does.
 */
final class RecordingListener implements PeerListener {

    final List<String> events = new CopyOnWriteArrayList<>();
    /** One in so many offers is taken. */
    volatile int takeOneIn = 1;

    volatile int refusals;
    volatile Peer peer;
    private int offers;

    @Override
    public boolean onOpen(Peer opened) {
        peer = opened;
        return take("open");
    }

    @Override
    public boolean onMessage(Peer from, WireMessage message) {
        return take(String.valueOf(((NumberMessage) message).number()));
    }

    @Override
    public boolean onClose(Peer closed) {
        return take("close");
    }

    private boolean take(String event) {
        offers++;
        if (offers % takeOneIn != 0) {
            refusals++;
            return false;
        }
        events.add(event);
        return true;
    }
}
