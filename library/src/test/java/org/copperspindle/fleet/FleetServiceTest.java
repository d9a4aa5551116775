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
 * The leader's side of orders, with a log whose quorum the test controls.
 */
class FleetServiceTest {

    private static final long SECOND = 1_000_000_000L;

    private final VirtualTimerService timers = new VirtualTimerService();
    private final ControlState state = new ControlState();
    private final FakeLog log = new FakeLog();
    private final FakePeer agent = new FakePeer();
    private final FleetService service = new FleetService(timers, log, state, id -> Optional.of(agent));

    @BeforeEach
    void wantOneCopy() {
        log.propose(
                state.encode(new ApplyConfigCommand("c", 0, "ann", "[placement p]\ncopies = m:1\nslots = 2\n")),
                r -> {});
        announce(1, List.of());
        service.start();
    }

    /**
     * The leader has committed an order and is cut off before it is sent; the quorum elects another. Its queue wakes:
     * neither the waiting callback nor the periodic resending sends anything, although the order is still open.
     */
    @Test
    void replacedLeaderSendsNothingFromItsQueue() {
        log.holding = true;
        timers.advance(10 * SECOND);
        assertThat(log.held).isNotEmpty();
        log.leading = false;

        log.release();
        timers.advance(60 * SECOND);

        assertThat(state.orders().all()).isNotEmpty();
        assertThat(agent.sent).isEmpty();
    }

    /**
     * A leader without a quorum still believes that it leads when a restarted agent asks for the current number. The
     * question can't be committed, so it is not answered, and the agent passes no order of this leader.
     */
    @Test
    void leaderWithoutQuorumConfirmsNoNumber() {
        log.holding = true;

        service.onMessage(agent, new FenceQueryMessage("e", 2));
        timers.advance(60 * SECOND);

        assertThat(agent.sent).isEmpty();
    }

    /**
     * The leader dies after it sent an order and another takes over from the same state. It gives the open order again
     * with its own term and a higher number, and does not place a second one beside it.
     */
    @Test
    void nextLeaderGivesTheOpenOrderAgain() {
        timers.advance(3 * SECOND);
        OrderMessage first = (OrderMessage) agent.sent.get(0);
        log.leading = false;
        timers.advance(3 * SECOND);
        agent.sent.clear();
        log.leading = true;
        log.term = 2;
        timers.advance(20 * SECOND);

        assertThat(agent.sent).isNotEmpty().allSatisfy(sent -> {
            OrderMessage again = (OrderMessage) sent;
            assertThat(again.term()).isEqualTo(2);
            assertThat(again.sequence()).isGreaterThan(first.sequence());
            assertThat(again.subject()).isEqualTo("m");
        });
        assertThat(agent.sent.stream().distinct()).hasSize(1);
    }

    /**
     * The load is done and announced, and the report arrives twice. It is acknowledged each time, one order is closed,
     * and the trail tells the order and its end.
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

    /** Commits at once, or holds what is proposed until it is released. */
    private final class FakeLog implements ReplicatedLog {
        private final List<Runnable> held = new ArrayList<>();
        private boolean holding;
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
            if (holding) {
                held.add(() -> commit(command, callback));
            } else {
                commit(command, callback);
            }
        }

        private void commit(byte[] command, Consumer<ProposalResult> callback) {
            index++;
            callback.accept(new ProposalResult.Committed(index, state.apply(index, term, command)));
        }

        private void release() {
            holding = false;
            held.forEach(Runnable::run);
        }

        @Override
        public void close() {
            // nothing is open
        }
    }

    /** Remembers what it was sent. */
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
