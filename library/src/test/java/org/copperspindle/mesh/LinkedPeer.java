package org.copperspindle.mesh;

import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/**
 * A connection whose messages arrive at another mesh after a delay, and that counts their encoded bytes.
 */
public final class LinkedPeer implements Peer {

    private final GreetingMessage greeting;
    private final NodeMesh target;
    private final VirtualTimerService time;
    private final long delayNanos;
    private final MessageRegistry registry;
    private LinkedPeer reverse;
    private long bytes;

    // Creates a connection to the node of that name.
    public LinkedPeer(
            String name, NodeMesh target, VirtualTimerService time, long delayNanos, MessageRegistry registry) {
        this.greeting = new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", name, 1);
        this.target = target;
        this.time = time;
        this.delayNanos = delayNanos;
        this.registry = registry;
    }

    // Sets the end of this connection at the other node.
    public void reverse(LinkedPeer peer) {
        reverse = peer;
    }

    // Returns the bytes sent.
    public long bytes() {
        return bytes;
    }

    @Override
    public GreetingMessage greeting() {
        return greeting;
    }

    @Override
    public boolean send(WireMessage message) {
        bytes += registry.encode(message).length;
        time.schedule(delayNanos, () -> target.onMessage(reverse, message));
        return true;
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    @Override
    public void close() {}
}
