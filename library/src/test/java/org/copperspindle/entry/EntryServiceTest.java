package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.daemon.MessageCatalog;
import org.copperspindle.measure.EntryMetrics;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryServiceTest {

    private static final int SLOTS = 2;

    /**
     * A caller disconnects while the ring is full. The network thread continues at once, and the event takes the first
     * slot that becomes free. If it were dropped, the request would run until its deadline although nobody waits for
     * it.
     */
    @Test
    void disconnectIsRecordedOnceTheRingHasRoom() throws Exception {
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 0);
        CountDownLatch firstRuns = new CountDownLatch(1);
        CountDownLatch secondRuns = new CountDownLatch(1);
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch second = new CountDownLatch(1);
        try (DecisionRing ring = new DecisionRing("test", SLOTS);
                WireTransport transport = new WireTransport(
                        1,
                        MessageCatalog.registry(),
                        new GreetingMessage(GreetingMessage.PROTOCOL, "process", "entry", 1))) {
            EntryService service = new EntryService(
                    ring,
                    new VirtualTimerService(),
                    transport,
                    new EntrySettings(nowhere, "a", Duration.ofSeconds(1), 10, 1024, Duration.ZERO),
                    List.of(nowhere),
                    EntryMetrics.NONE);
            ring.execute(() -> runUntil(firstRuns, first));
            firstRuns.await();
            ring.execute(() -> runUntil(secondRuns, second));
            assertThat(ring.depth()).isEqualTo(SLOTS);

            service.callerLeft("r");

            first.countDown();
            secondRuns.await();
            // The second task still holds one slot; only the disconnect event can take the other.
            await(() -> ring.depth() == SLOTS);
            second.countDown();
            await(() -> ring.depth() == 0);
            assertThat(ring.failures()).isZero();
        }
    }

    private static void runUntil(CountDownLatch started, CountDownLatch end) {
        started.countDown();
        try {
            end.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("waited for too long").isLessThan(end);
            Thread.onSpinWait();
        }
    }
}
