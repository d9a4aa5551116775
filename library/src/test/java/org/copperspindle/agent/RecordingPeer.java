package org.copperspindle.agent;

import java.util.ArrayList;
import java.util.List;

import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/** A connection that records the messages sent on it. */
final class RecordingPeer implements Peer {

    private final List<WireMessage> sent = new ArrayList<>();
    private boolean open = true;

    @Override
    public GreetingMessage greeting() {
        return new GreetingMessage(GreetingMessage.PROTOCOL, "entry", "entry-1", 1);
    }

    @Override
    public boolean send(WireMessage message) {
        if (open) {
            sent.add(message);
        }
        return open;
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    @Override
    public void close() {
        open = false;
    }

    List<WireMessage> sent() {
        return sent;
    }
}
