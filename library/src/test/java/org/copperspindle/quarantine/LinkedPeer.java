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
 * One end of a connection between two nodes in virtual time. What is sent travels as bytes and arrives after a while.
 */
final class LinkedPeer implements Peer {

    private static final long DELAY_NANOS = Duration.ofMillis(2).toNanos();

    private final GreetingMessage remote;
    private final MessageRegistry registry;
    private final TimerService timers;
    private final BooleanSupplier passes;
    private final Consumer<WireMessage> arrives;
    private boolean lost;

    LinkedPeer(
            GreetingMessage remote,
            MessageRegistry registry,
            TimerService timers,
            BooleanSupplier passes,
            Consumer<WireMessage> arrives) {
        this.remote = remote;
        this.registry = registry;
        this.timers = timers;
        this.passes = passes;
        this.arrives = arrives;
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
        // The test closes links by itself, at both ends.
    }

    /** Loses what is on its way, and all that is sent from now on. */
    void lose() {
        lost = true;
    }

    private void arrive(byte[] bytes) {
        if (lost || !passes.getAsBoolean()) {
            return;
        }
        try {
            arrives.accept(registry.decode(bytes).orElseThrow());
        } catch (MalformedFrameException e) {
            throw new IllegalStateException(e);
        }
    }
}
