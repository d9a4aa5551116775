package org.copperspindle.overload;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which connections a node takes when a balancer sends most new ones of a failure domain, or of a region, to it.
 */
class ShedConnectionsTest {

    private static final long MILLI = 1_000_000L;
    private static final long TICK = 100 * MILLI;
    private static final long ACCEPT_COST = MILLI / 5;
    private static final Duration CONTACT = Duration.ofSeconds(4);
    private static final Duration LEAN = Duration.ofSeconds(12);

    /**
     * Replays a region of 33 nodes whose new connections all come to one of the smallest, 4 a second before: each takes
     * 15 ms of processor time there. Requests that are read are to be answered within their objective of 200 ms at least
     * three quarters as often as before, once the surge has lasted for the contact time; the rest is closed unread.
     */
    @ParameterizedTest
    @CsvSource({"45, 1", "45, 2", "130, 3", "130, 4", "400, 5", "400, 6"})
    void requestsThatAreReadAreServedDuringASurge(int connectionsPerSecond, long seed) {
        Replay replay = new Replay(seed);
        replay.run(Duration.ofSeconds(10), 4);
        replay.run(CONTACT, connectionsPerSecond);
        replay.reset();
        replay.run(LEAN.minus(CONTACT), connectionsPerSecond);
        assertThat(replay.servedShare()).isGreaterThanOrEqualTo(0.75);
        assertThat(replay.read).isPositive();
        replay.run(Duration.ofSeconds(3), 4);
        replay.reset();
        replay.run(Duration.ofSeconds(10), 4);
        assertThat(replay.shed).as("after the surge").isZero();
    }

    /** Guards against turning usual callers away while the network thread is late for other reasons than connections. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void usualConnectionsAreTakenWhileOtherWorkDelaysTheThread(long seed) {
        Replay replay = new Replay(seed);
        for (int i = 0; i < 5; i++) {
            replay.occupy(300);
            replay.run(Duration.ofMillis(50), 4);
        }
        replay.run(Duration.ofSeconds(10), 4);
        assertThat(replay.shed).isZero();
    }

    /** Guards against closing connections for a single long task, a collection or a suspension of the VM. */
    @ParameterizedTest
    @ValueSource(longs = {60, 400, 5000})
    void singleDelaysAreNoOverload(long delayMillis) {
        LoopDelayMonitor monitor = new LoopDelayMonitor();
        for (int tick = 0; tick < 100; tick++) {
            monitor.record(tick % 3 == 0 ? delayMillis * MILLI : MILLI, tick * TICK);
            assertThat(monitor.isOverloaded()).isFalse();
        }
    }

    /** Callers may take half of the descriptors: upstreams and other nodes need the rest. */
    @ParameterizedTest
    @CsvSource({"2012, 1006", "3900, 1950", "10050, 2500", "0, 2500"})
    void openConnectionsAreBoundedByTheDescriptors(int descriptors, int most) {
        ShedConnections connections =
                new ShedConnections(descriptors > 0 ? OptionalInt.of(descriptors) : OptionalInt.empty(), () -> true);
        assertThat(connections.admits(most)).isTrue();
        assertThat(connections.admits(most + 1)).isFalse();
    }

    @Test
    void overloadedNodeClosesConnections() {
        boolean[] hasCapacity = {true};
        ShedConnections connections = new ShedConnections(OptionalInt.empty(), () -> hasCapacity[0]);
        assertThat(connections.admits(1)).isTrue();
        hasCapacity[0] = false;
        assertThat(connections.admits(1)).isFalse();
    }

    /**
     * One network thread. In each turn it accepts a few waiting connections, reads and serves all that it accepted in the
     * turn before, and runs the tick if that is due.
     */
    private static final class Replay {
        private static final long REQUEST_COST = 15 * MILLI;
        private static final long OBJECTIVE = 200 * MILLI;
        private static final int ACCEPTS_PER_TURN = 64;

        private final Random random;
        private final ConnectionRateLimit limit = new ConnectionRateLimit(TICK);
        private final ShedConnections connections = new ShedConnections(OptionalInt.empty(), limit::tryAdmit);
        private final Deque<Long> waiting = new ArrayDeque<>();
        private final Deque<Long> accepted = new ArrayDeque<>();
        private long now;
        private long nextArrival;
        private long tickDueAt = TICK;
        private int read;
        private int served;
        private int shed;

        private Replay(long seed) {
            this.random = new Random(seed);
        }

        private void run(Duration time, int perSecond) {
            long end = now + time.toNanos();
            nextArrival = now;
            while (now < end) {
                arrive(perSecond);
                long before = now;
                accept();
                serve();
                tick();
                if (now == before) {
                    now = Math.min(nextArrival, tickDueAt);
                }
            }
        }

        /** Keeps the thread busy with other work, and runs the tick that is late after it. */
        private void occupy(long millis) {
            now += millis * MILLI;
            tick();
        }

        private void arrive(int perSecond) {
            while (nextArrival <= now) {
                waiting.add(nextArrival);
                nextArrival += 1 + (long) (-Math.log(1 - random.nextDouble()) * 1000 * MILLI / perSecond);
            }
        }

        private void accept() {
            for (int i = 0; i < ACCEPTS_PER_TURN && !waiting.isEmpty(); i++) {
                long arrivedAt = waiting.poll();
                now += ACCEPT_COST;
                if (connections.admits(1)) {
                    accepted.add(arrivedAt);
                } else {
                    shed++;
                }
            }
        }

        private void serve() {
            while (!accepted.isEmpty()) {
                read++;
                now += REQUEST_COST;
                served += now - accepted.poll() <= OBJECTIVE ? 1 : 0;
            }
        }

        private void tick() {
            if (now >= tickDueAt) {
                limit.record(now - tickDueAt, now);
                tickDueAt = now + TICK;
            }
        }

        private void reset() {
            read = 0;
            served = 0;
            shed = 0;
        }

        private double servedShare() {
            return (double) served / read;
        }
    }
}
