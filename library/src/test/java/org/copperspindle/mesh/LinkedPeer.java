package org.copperspindle.mesh;

import java.util.function.Consumer;

import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/**
 * A connection whose messages arrive at another mesh after a delay.
 */
public final class LinkedPeer implements Peer {

    private final GreetingMessage greeting;
    private final NodeMesh target;
    private final VirtualTimerService time;
    private final long delayNanos;
    private LinkedPeer reverse;
    private Consumer<WireMessage> observer = message -> {};

    // Creates a connection to the node of that name.
    public LinkedPeer(String name, NodeMesh target, VirtualTimerService time, long delayNanos) {
        this.greeting = new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", name, 1);
        this.target = target;
        this.time = time;
        this.delayNanos = delayNanos;
    }

    // Sets the end of this connection at the other node.
    public void reverse(LinkedPeer peer) {
        reverse = peer;
    }

    // Sets who is told of each message that is sent.
    public void observe(Consumer<WireMessage> messageObserver) {
        observer = messageObserver;
    }

    @Override
    public GreetingMessage greeting() {
        return greeting;
    }

    @Override
    public boolean send(WireMessage message) {
        observer.accept(message);
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
