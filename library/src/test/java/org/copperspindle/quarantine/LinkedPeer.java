package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.copperspindle.time.TimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/**
 * One end of a connection between two nodes in virtual time. Messages are transferred as bytes and arrive after a
 * delay.
 */
final class LinkedPeer implements Peer {

    private static final long DELAY_NANOS = Duration.ofMillis(2).toNanos();

    private final GreetingMessage remote;
    private final MessageRegistry registry;
    private final TimerService timers;
    private final BooleanSupplier isLinked;
    private final Consumer<WireMessage> receiver;
    private boolean dropped;

    LinkedPeer(
            GreetingMessage remote,
            MessageRegistry registry,
            TimerService timers,
            BooleanSupplier isLinked,
            Consumer<WireMessage> receiver) {
        this.remote = remote;
        this.registry = registry;
        this.timers = timers;
        this.isLinked = isLinked;
        this.receiver = receiver;
    }

    @Override
    public GreetingMessage greeting() {
        return remote;
    }

    @Override
    public boolean send(WireMessage message) {
        byte[] bytes = registry.encode(message);
        timers.schedule(DELAY_NANOS, () -> arrive(bytes));
        return true;
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    @Override
    public void close() {
        // The test closes both ends of a link itself.
    }

    /** Drops messages that are under way, and all that are sent from now on. */
    void drop() {
        dropped = true;
    }

    private void arrive(byte[] bytes) {
        if (dropped || !isLinked.getAsBoolean()) {
            return;
        }
        try {
            receiver.accept(registry.decode(bytes).orElseThrow());
        } catch (MalformedFrameException e) {
            throw new IllegalStateException(e);
        }
    }
}
