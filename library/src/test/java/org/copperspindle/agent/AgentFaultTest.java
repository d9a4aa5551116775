package org.copperspindle.agent;

import java.io.OutputStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests one agent over real sockets, with a fault at the worst moment on the entry's or the upstream's side. */
@Timeout(120)
class AgentFaultTest {

    private final Semaphore gate = new Semaphore(0);
    private final Semaphore arrived = new Semaphore(0);

    /** Returns an upstream that responds to a call when the test releases the gate. */
    private SocketUpstream gated() throws Exception {
        return new SocketUpstream((socket, request, call) -> {
            arrived.release();
            gate.acquireUninterruptibly();
            SocketUpstream.send(socket, SocketUpstream.response("done"));
        });
    }

    /**
     * The order for an install arrives three times: twice while it runs, on two connections, and once after it has
     * ended. It runs once, and each connection gets its outcome.
     */
    @Test
    void duplicateOrderRunsOnce() throws Exception {
        try (SocketUpstream upstream = gated();
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry first = agent.entry();
            AgentFixture.Entry second = agent.entry();
            StampedOrderMessage order = first.order("a", false);
            first.send(order);
            arrived.acquire();
            first.send(order);
            second.send(order);
            awaitProcessed(second);
            gate.release(3);

            assertThat(first.outcome("a").body()).asString().isEqualTo("done");
            assertThat(second.outcome("a").body()).asString().isEqualTo("done");
            second.send(order);
            assertThat(second.outcome("a").body()).asString().isEqualTo("done");
            assertThat(upstream.ledger().count("a")).isEqualTo(1);
        }
    }

    /**
     * An entry pauses between claim and dispatch. Another entry queries the attempt, gets NOT_RUN and dispatches a new
     * one; then the first entry resumes and sends its order, which must not run.
     */
    @Test
    void orderArrivingAfterItsRefusalDoesNotRun() throws Exception {
        try (SocketUpstream upstream = gated();
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry slow = agent.entry();
            AgentFixture.Entry quick = agent.entry();
            StampedOrderMessage order = slow.order("a", false);
            quick.query("a", 7);
            assertThat(quick.outcome("a").verdict()).isEqualTo(new NotRunVerdict("never-arrived"));

            slow.send(order);

            assertThat(slow.outcome("a").verdict()).isEqualTo(new NotRunVerdict("never-arrived"));
            assertThat(upstream.ledger().count("a")).isZero();
        }
    }

    /**
     * The entry's connection is lost while the install runs, after dispatch and before the response. The install
     * continues; the entry that takes over queries it, waits, and gets the outcome. It is not acknowledged, so it is
     * kept for the next query.
     */
    @Test
    void outcomeIsKeptAfterTheOrderingConnectionIsLost() throws Exception {
        try (SocketUpstream upstream = gated();
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry lost = agent.entry();
            lost.send(lost.order("a", false));
            arrived.acquire();
            lost.disconnect();
            AgentFixture.Entry successor = agent.entry();
            successor.query("a", 7);
            awaitProcessed(successor);
            gate.release();

            assertThat(successor.outcome("a").body()).asString().isEqualTo("done");
            successor.disconnect();
            AgentFixture.Entry next = agent.entry();
            next.query("a", 7);
            assertThat(next.outcome("a").body()).asString().isEqualTo("done");
            assertThat(upstream.ledger().count("a")).isEqualTo(1);
        }
    }

    /**
     * The agent crashes while an install runs and restarts as a new incarnation. It can't know whether the install ran,
     * so neither a query nor a copy of the old order may get NOT_RUN, and the copy must not run.
     */
    @Test
    void restartedAgentDoesNotReportNotRunForItsFormerIncarnation() throws Exception {
        try (SocketUpstream upstream = gated()) {
            StampedOrderMessage order;
            try (AgentFixture before = new AgentFixture(upstream)) {
                AgentFixture.Entry entry = before.entry();
                order = entry.order("a", false);
                entry.send(order);
                arrived.acquire();
            }
            try (AgentFixture after = new AgentFixture(upstream, 8, AgentFixture.LIMITS, "")) {
                AgentFixture.Entry entry = after.entry();
                entry.query("a", 7);
                assertThat(entry.outcome("a").verdict()).isEqualTo(new MayHaveRunVerdict("agent-restarted"));
                entry.send(order);
                assertThat(entry.outcome("a").verdict()).isEqualTo(new MayHaveRunVerdict("other-incarnation"));
                assertThat(upstream.ledger().count("a")).isEqualTo(1);
            }
        }
    }

    /**
     * The upstream runs an install and resets the connection before it responds: no entry may get NOT_RUN, now or
     * later.
     */
    @Test
    void resetBetweenRunAndResponseIsMayHaveRunForEveryEntry() throws Exception {
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> SocketUpstream.reset(socket));
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry first = agent.entry();
            first.send(first.order("a", false));
            assertThat(first.outcome("a").verdict()).isInstanceOf(MayHaveRunVerdict.class);

            AgentFixture.Entry second = agent.entry();
            second.query("a", 7);
            assertThat(second.outcome("a").verdict()).isInstanceOf(MayHaveRunVerdict.class);
            assertThat(upstream.ledger().count("a")).isEqualTo(1);
        }
    }

    /**
     * The engine's stream stops after two chunks without its end. The chunks were relayed, but the outcome must report
     * an incomplete response and must not contain it.
     */
    @Test
    void truncatedStreamIsNotAResponse() throws Exception {
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> {
                    SocketUpstream.send(
                            socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n");
                    socket.close();
                });
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry entry = agent.entry();
            entry.send(entry.order("a", true, true, Duration.ofSeconds(60)));

            AttemptOutcomeMessage outcome = entry.outcome("a");
            assertThat(outcome.verdict()).isInstanceOf(MayHaveRunVerdict.class);
            assertThat(outcome.complete()).isFalse();
            assertThat(outcome.body()).isEmpty();
        }
    }

    /**
     * An entry stops reading while an engine streams far more than the socket buffers hold. The agent must stop reading
     * from the engine instead of buffering the stream, and must still serve other entries. When the slow entry reads
     * again, it gets every chunk in order.
     */
    @Test
    void slowEntryPausesOnlyItsOwnUpstreamCall() throws Exception {
        AtomicInteger written = new AtomicInteger();
        int piece = 64 << 10;
        int pieces = 640;
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> {
                    if (!request.get("idempotency-key").equals("stream")) {
                        SocketUpstream.send(socket, SocketUpstream.response("x".repeat(1 << 20)));
                        return;
                    }
                    OutputStream out = socket.getOutputStream();
                    SocketUpstream.send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + piece * pieces + "\r\n\r\n");
                    for (int i = 0; i < pieces; i++) {
                        out.write(new byte[piece]);
                        written.incrementAndGet();
                    }
                });
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry slow = agent.entry();
            AgentFixture.Entry other = agent.entry();
            slow.read(false);
            slow.send(slow.order("stream", true, true, Duration.ofSeconds(60)));
            for (int i = 0; i < 40; i++) {
                other.send(other.order("b" + i, true));
                assertThat(other.outcome("b" + i).body()).hasSize(1 << 20);
            }
            // The loopback socket buffers hold up to half of it, the agent what is below its high-water mark.
            assertThat(written.get()).as("pieces the engine got rid of").isLessThan(pieces);

            slow.read(true);
            long next = 0;
            long bytes = 0;
            while (true) {
                WireMessage message = slow.take(m -> !(m instanceof LoadReportMessage));
                if (message instanceof AttemptChunkMessage chunk) {
                    assertThat(chunk.sequence()).isEqualTo(next++);
                    bytes += chunk.data().length;
                } else if (message instanceof AttemptOutcomeMessage outcome) {
                    assertThat(outcome.complete()).isTrue();
                    assertThat(outcome.chunks()).isEqualTo(next);
                    break;
                }
            }
            assertThat(bytes).isEqualTo((long) piece * pieces);
        }
    }

    /**
     * SIGTERM arrives while an install runs and its entry is gone. New work is refused at once and permanently, the
     * install ends, and the agent runs until another entry has fetched and acknowledged the outcome.
     */
    @Test
    void drainingAgentRunsUntilItsOutcomeIsAcknowledged() throws Exception {
        try (SocketUpstream upstream = gated();
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry lost = agent.entry();
            AgentFixture.Entry other = agent.entry();
            StampedOrderMessage late = other.order("b", false);
            lost.send(lost.order("a", false));
            arrived.acquire();
            lost.disconnect();
            CountDownLatch drained = agent.drain();
            other.awaitReport(true);
            other.send(late);
            assertThat(other.outcome("b").verdict()).isEqualTo(new NotRunVerdict("draining"));
            gate.release(2);

            other.query("a", 7);
            assertThat(other.outcome("a").body()).asString().isEqualTo("done");
            assertThat(drained.getCount())
                    .as("still there for the acknowledgement")
                    .isEqualTo(1);
            other.send(new OutcomeAckMessage("a"));
            assertThat(drained.await(20, TimeUnit.SECONDS)).isTrue();
            assertThat(upstream.ledger().count("b")).isZero();
        }
    }

    /** No entry ever fetches the outcome: the draining agent waits for its drain time and stops. */
    @Test
    void drainingAgentStopsAfterItsDrainTime() throws Exception {
        try (SocketUpstream upstream = gated();
                AgentFixture agent = new AgentFixture(upstream, 7, smallLimits(Duration.ofMillis(50)), "")) {
            AgentFixture.Entry entry = agent.entry();
            entry.send(entry.order("a", false));
            arrived.acquire();
            CountDownLatch drained = agent.drain();
            entry.awaitReport(true);
            assertThat(drained.getCount()).as("work in progress").isEqualTo(1);
            gate.release();

            assertThat(entry.outcome("a").body()).asString().isEqualTo("done");
            assertThat(drained.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void loadOfTheUpstreamIsPassedOnWithItsAge() throws Exception {
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> SocketUpstream.send(
                        socket, "HTTP/1.1 200 OK\r\nUpstream-Load: 17\r\nContent-Length: 0\r\n\r\n"));
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry entry = agent.entry();
            entry.send(entry.order("a", true));

            assertThat(entry.outcome("a").reportedLoad()).isEqualTo(17);
            LoadReportMessage report = (LoadReportMessage)
                    entry.take(m -> m instanceof LoadReportMessage load && load.reportedLoad() == 17);
            assertThat(report.loadAgeMillis()).isNotNegative();
        }
    }

    /**
     * The agent is full: work beyond the queue is refused permanently, even if the same order arrives again when there
     * is room.
     */
    @Test
    void workBeyondTheQueueIsRefusedPermanently() throws Exception {
        try (SocketUpstream upstream = gated();
                AgentFixture agent = new AgentFixture(upstream, 7, smallLimits(Duration.ZERO), "")) {
            AgentFixture.Entry entry = agent.entry();
            StampedOrderMessage refused = entry.order("b", false);
            entry.send(entry.order("a", false));
            arrived.acquire();
            entry.send(refused);
            assertThat(entry.outcome("b").verdict()).isEqualTo(new NotRunVerdict("queue-full"));
            gate.release(2);
            assertThat(entry.outcome("a").verdict()).isEqualTo(RanVerdict.SUCCESS);

            entry.send(refused);
            assertThat(entry.outcome("b").verdict()).isEqualTo(new NotRunVerdict("queue-full"));
            assertThat(upstream.ledger().count("b")).isZero();
        }
    }

    /**
     * The health check of the upstream reports that it is leaving: the agent refuses new work before control or any
     * entry could know, and accepts work again when the upstream is back.
     */
    @Test
    void leavingUpstreamGetsNoNewWork() throws Exception {
        AtomicBoolean leaving = new AtomicBoolean();
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> {
                    boolean health = request.get(":path").equals("/health");
                    SocketUpstream.send(
                            socket,
                            health && leaving.get()
                                    ? "HTTP/1.1 503 Leaving\r\nContent-Length: 0\r\n\r\n"
                                    : SocketUpstream.response("done"));
                });
                AgentFixture agent = new AgentFixture(upstream, 7, AgentFixture.LIMITS, "/health")) {
            AgentFixture.Entry entry = agent.entry();
            leaving.set(true);
            entry.awaitReport(true);
            entry.send(entry.order("a", true));
            assertThat(entry.outcome("a").verdict()).isEqualTo(new NotRunVerdict("upstream-leaving"));

            leaving.set(false);
            entry.awaitReport(false);
            entry.send(entry.order("b", true));
            assertThat(entry.outcome("b").verdict()).isEqualTo(RanVerdict.SUCCESS);
            assertThat(upstream.ledger().count("a")).isZero();
        }
    }

    /** An unreachable upstream ran nothing, and after a few failures it gets no more orders. */
    @Test
    void unreachableUpstreamIsAnnounced() throws Exception {
        try (SocketUpstream upstream = gated();
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry entry = agent.entry();
            upstream.fail();
            entry.awaitReport(true);

            entry.send(entry.order("a", false));

            assertThat(entry.outcome("a").verdict()).isEqualTo(new NotRunVerdict("upstream-unreachable"));
        }
    }

    /** Only statuses configured as refusals prove that nothing ran; any other response means that the call ran. */
    @Test
    void onlyConfiguredStatusesProveARefusal() throws Exception {
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> SocketUpstream.send(
                        socket, "HTTP/1.1 " + request.get("idempotency-key") + " Busy\r\nContent-Length: 0\r\n\r\n"));
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry entry = agent.entry();
            entry.send(entry.order("429", false));
            assertThat(entry.outcome("429").verdict()).isEqualTo(new NotRunVerdict("upstream-refused-429"));
            entry.send(entry.order("503", false));
            AttemptOutcomeMessage ran = entry.outcome("503");
            assertThat(ran.verdict()).isEqualTo(RanVerdict.SUCCESS);
            assertThat(ran.status()).isEqualTo(503);
        }
    }

    /**
     * The decision ring is full when a response arrives. The network thread must not block on it: it continues to serve
     * the upstream's connections, and hands the response over when there is room.
     */
    @Test
    void fullRingDoesNotStopTheNetworkThread() throws Exception {
        Semaphore served = new Semaphore(0);
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> {
                    arrived.release();
                    gate.acquireUninterruptibly();
                    String answer = SocketUpstream.response(request.get("idempotency-key"));
                    SocketUpstream.send(socket, answer.replace("OK\r\n", "OK\r\nConnection: close\r\n"));
                    // The client closes this connection after the whole response only if its thread is not blocked.
                    served.release(socket.getInputStream().read() < 0 ? 1 : 0);
                });
                AgentFixture agent = new AgentFixture(upstream)) {
            AgentFixture.Entry entry = agent.entry();
            String[] ids = {"a", "b", "c"};
            for (String id : ids) {
                entry.send(entry.order(id, false, false, Duration.ofSeconds(60)));
            }
            arrived.acquire(ids.length);
            CountDownLatch ringBlock = new CountDownLatch(1);
            agent.ring().execute(() -> awaitUninterruptibly(ringBlock));
            while (agent.ring().offer(() -> {})) {
                Thread.onSpinWait();
            }
            gate.release(ids.length);
            boolean all = served.tryAcquire(ids.length, 20, TimeUnit.SECONDS);
            ringBlock.countDown();

            assertThat(all).as("network thread served all connections").isTrue();
            for (String id : ids) {
                assertThat(entry.outcome(id).body()).asString().isEqualTo(id);
            }
        }
    }

    private static AgentLimits smallLimits(Duration drainWait) {
        return new AgentLimits(
                1,
                0,
                1000,
                64 << 20,
                1 << 20,
                Duration.ofMinutes(2),
                Duration.ofMinutes(1),
                Duration.ofMinutes(1),
                Duration.ZERO,
                drainWait);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits for a response that the agent sends only after it has processed everything sent before on this connection.
     */
    private static void awaitProcessed(AgentFixture.Entry entry) throws InterruptedException {
        entry.query("unknown", 0);
        entry.outcome("unknown");
    }
}
