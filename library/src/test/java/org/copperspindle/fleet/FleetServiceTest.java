package org.copperspindle.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.copperspindle.control.AnnounceCommand;
import org.copperspindle.control.ApplyConfigCommand;
import org.copperspindle.control.ControlState;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link FleetService} on a leader whose quorum the test controls.
 */
class FleetServiceTest {

    private static final long SECOND = 1_000_000_000L;

    private final VirtualTimerService timers = new VirtualTimerService();
    private final ControlState state = new ControlState();
    private final FakeLog log = new FakeLog();
    private final FakePeer agent = new FakePeer();
    private final FleetService service = new FleetService(timers, log, state, id -> Optional.of(agent));

    @BeforeEach
    void configureOneCopy() {
        log.propose(
                state.encode(new ApplyConfigCommand("c", 0, "ann", "[placement p]\ncopies = m:1\nslots = 2\n")),
                r -> {});
        announce(1, List.of());
        service.start();
    }

    /**
     * The leader has committed an order and is isolated before it sends it; the quorum elects another leader. When the
     * old leader resumes, neither the queued callback nor the periodic resending sends anything, although the order is
     * still open.
     */
    @Test
    void replacedLeaderSendsNothingFromItsQueue() {
        log.deferring = true;
        timers.advance(10 * SECOND);
        assertThat(log.deferred).isNotEmpty();
        log.leading = false;

        log.release();
        timers.advance(60 * SECOND);

        assertThat(state.orders().all()).isNotEmpty();
        assertThat(agent.sent).isEmpty();
    }

    /**
     * A leader without a quorum still considers itself the leader when a restarted agent queries the current fencing
     * number. The query can't be committed, so it gets no reply, and the agent forwards no order of this leader.
     */
    @Test
    void leaderWithoutQuorumConfirmsNoNumber() {
        log.deferring = true;

        service.onMessage(agent, new FenceQueryMessage("e", 2));
        timers.advance(60 * SECOND);

        assertThat(agent.sent).isEmpty();
    }

    /**
     * The leader crashes after sending an order, and another takes over from the same state. It reissues the open order
     * with its own term and a higher number, and does not place a second one.
     */
    @Test
    void nextLeaderReissuesTheOpenOrder() {
        timers.advance(3 * SECOND);
        OrderMessage first = (OrderMessage) agent.sent.get(0);
        log.leading = false;
        timers.advance(3 * SECOND);
        agent.sent.clear();
        log.leading = true;
        log.term = 2;
        timers.advance(20 * SECOND);

        assertThat(agent.sent).isNotEmpty().allSatisfy(sent -> {
            OrderMessage reissued = (OrderMessage) sent;
            assertThat(reissued.term()).isEqualTo(2);
            assertThat(reissued.sequence()).isGreaterThan(first.sequence());
            assertThat(reissued.subject()).isEqualTo("m");
        });
        assertThat(agent.sent.stream().distinct()).hasSize(1);
    }

    /**
     * The load is completed and announced, and the report arrives twice. It is acknowledged each time, the order is
     * closed once, and the audit trail gets one record of its end.
     */
    @Test
    void reportClosesTheOrderOnce() throws Exception {
        timers.advance(3 * SECOND);
        OrderMessage order = (OrderMessage) agent.sent.get(0);
        announce(2, List.of("m"));
        OrderReportMessage report = new OrderReportMessage("e", 1, order.sequence(), OrderOutcome.DONE, "");
        long before = state.audit().head().number();

        service.onMessage(agent, report);
        service.onMessage(agent, report);
        timers.advance(60 * SECOND);

        assertThat(state.orders().all()).isEmpty();
        assertThat(agent.sent)
                .filteredOn(OrderReportAckMessage.class::isInstance)
                .hasSize(2);
        assertThat(agent.sent.stream().filter(OrderMessage.class::isInstance).distinct())
                .hasSize(1);
        assertThat(state.audit().head().number()).isEqualTo(before + 1);
    }

    private void announce(long sequence, List<String> models) {
        log.propose(
                state.encode(new AnnounceCommand(UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                        "e", "p", "north", new InetSocketAddress("127.0.0.1", 1), 1, sequence, models, false)))),
                r -> {});
    }

    /** Commits proposals immediately, or defers them until they are released. */
    private final class FakeLog implements ReplicatedLog {
        private final List<Runnable> deferred = new ArrayList<>();
        private boolean deferring;
        private boolean leading = true;
        private long term = 1;
        private long index;

        @Override
        public boolean leads() {
            return leading;
        }

        @Override
        public long term() {
            return term;
        }

        @Override
        public Optional<String> leaderAddress() {
            return Optional.empty();
        }

        @Override
        public void propose(byte[] command, Consumer<ProposalResult> callback) {
            if (deferring) {
                deferred.add(() -> commit(command, callback));
            } else {
                commit(command, callback);
            }
        }

        private void commit(byte[] command, Consumer<ProposalResult> callback) {
            index++;
            callback.accept(new ProposalResult.Committed(index, state.apply(index, term, command)));
        }

        private void release() {
            deferring = false;
            deferred.forEach(Runnable::run);
        }

        @Override
        public void close() {
            // nothing is open
        }
    }

    /** Records the messages that were sent to it. */
    private static final class FakePeer implements Peer {
        private final List<WireMessage> sent = new ArrayList<>();

        @Override
        public GreetingMessage greeting() {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean send(WireMessage message) {
            sent.add(message);
            return true;
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void close() {
            // nothing is open
        }
    }
}
