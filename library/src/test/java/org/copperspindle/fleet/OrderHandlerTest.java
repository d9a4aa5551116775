package org.copperspindle.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which orders an agent forwards to its engine, and how it reports them.
 */
class OrderHandlerTest {

    private static final long SECOND = 1_000_000_000L;

    private final VirtualTimerService timers = new VirtualTimerService();
    private final FakeEngine engine = new FakeEngine();
    private final List<WireMessage> sent = new ArrayList<>();
    private OrderHandler agent = startAgent(1);

    /**
     * Leader 1 is isolated with orders in its queue. Leader 2 renews the agent's lease and sends nothing else. When
     * leader 1 resumes, its queued orders arrive: none of them reaches the engine, which would have executed them.
     */
    @Test
    void queuedOrdersOfReplacedLeaderHaveNoEffect() {
        agent.onMessage(new FenceReplyMessage("e", 1, 1, 10));
        agent.onTerm(2);

        agent.onMessage(order(1, 11, OrderKind.LOAD_MODEL, "m"));
        agent.onMessage(order(1, 12, OrderKind.UNLOAD_MODEL, "base"));
        timers.advance(60 * SECOND);

        assertThat(engine.calls).isEmpty();
        assertThat(agent.models()).containsExactly("base");
        assertThat(lastReport().outcome()).isEqualTo(OrderOutcome.REFUSED);
    }

    /**
     * The network delivers an order three times: while the engine executes it, after it has ended, and after 100 later
     * orders, when its report has been evicted. The engine is called once for it, and the report is repeated while it
     * is retained.
     */
    @Test
    void duplicateOrderIsExecutedOnce() {
        agent.onMessage(new FenceReplyMessage("e", 1, 1, 10));
        OrderMessage order = order(1, 11, OrderKind.LOAD_MODEL, "m");
        agent.onMessage(order);
        agent.onMessage(order);
        engine.respond(200);
        agent.onMessage(order);
        assertThat(lastReport().outcome()).isEqualTo(OrderOutcome.DONE);
        for (int i = 0; i < 100; i++) {
            agent.onMessage(order(1, 12 + i, OrderKind.CHANGE_ROLE, "decode"));
            engine.respond(200);
        }

        agent.onMessage(order);

        assertThat(engine.calls).filteredOn(c -> c.orderId().equals("e/11")).hasSize(1);
        assertThat(engine.withIncreasingNumbers()).hasSize(101);
    }

    /**
     * The agent crashes and restarts without its state. An order issued before arrives late, first before the leader
     * has replied to the new incarnation's query and then after. Neither duplicate reaches the engine, though both are
     * addressed to the new incarnation; an order issued after the reply does.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void restartedAgentForwardsNothingBeforeItKnowsTheNumber(boolean answered) {
        agent.stop();
        agent = startAgent(2);
        assertThat(sent).contains(new FenceQueryMessage("e", 2));
        OrderMessage late = new OrderMessage("e", 2, 1, 11, OrderKind.LOAD_MODEL, "m", "/w");
        if (answered) {
            agent.onMessage(new FenceReplyMessage("e", 2, 1, 40));
        }

        agent.onMessage(late);
        assertThat(engine.calls).isEmpty();
        agent.onMessage(new FenceReplyMessage("e", 2, 1, 40));
        agent.onMessage(late);
        assertThat(engine.calls).isEmpty();

        agent.onMessage(new OrderMessage("e", 2, 1, 41, OrderKind.LOAD_MODEL, "m", "/w"));
        assertThat(engine.calls).hasSize(1);
    }

    /**
     * The same for a pool whose engines check fencing numbers themselves. The agent need not wait for the reply: the
     * engine has seen 40 and rejects 11 itself, which the agent reports as never executed.
     */
    @Test
    void checkingEngineRefusesTheLowerNumberItself() {
        engine.rejectsBelow = 40;
        agent.stop();
        agent = startAgent(2);
        agent.onConfiguration(true);

        agent.onMessage(new OrderMessage("e", 2, 1, 11, OrderKind.LOAD_MODEL, "m", "/w"));
        engine.respond(200);

        assertThat(engine.executed).isEmpty();
        assertThat(lastReport().outcome()).isEqualTo(OrderOutcome.REFUSED);
        assertThat(lastReport().reason()).isEqualTo("engine-refused-number");
        assertThat(agent.models()).containsExactly("base");
    }

    /**
     * Leader 1 crashes while the engine loads a model. Leader 2 knows the open order and reissues it under its own
     * number. The engine is not called a second time, and the report carries the number that leader 2 waits for.
     */
    @Test
    void nextLeaderTakesOverTheOrderInProgress() {
        agent.onMessage(new FenceReplyMessage("e", 1, 1, 10));
        agent.onMessage(order(1, 11, OrderKind.LOAD_MODEL, "m"));
        agent.onTerm(2);
        agent.onMessage(order(2, 15, OrderKind.LOAD_MODEL, "m"));

        engine.respond(200);

        assertThat(engine.calls).hasSize(1);
        assertThat(lastReport()).isEqualTo(new OrderReportMessage("e", 1, 15, OrderOutcome.DONE, ""));
        assertThat(agent.models()).containsExactly("base", "m");
    }

    /**
     * The report is lost with the leader. It is sent again until a leader acknowledges that it is committed, and not
     * after.
     */
    @Test
    void reportIsSentUntilCommitted() {
        agent.onMessage(new FenceReplyMessage("e", 1, 1, 10));
        agent.onMessage(order(1, 11, OrderKind.LOAD_MODEL, "m"));
        engine.respond(500);
        sent.clear();

        timers.advance(3 * SECOND);
        agent.onMessage(new OrderReportAckMessage("e", 11));
        timers.advance(3 * SECOND);

        assertThat(sent).hasSize(3).containsOnly(new OrderReportMessage("e", 1, 11, OrderOutcome.FAILED, "status 500"));
    }

    /**
     * Entries still route to a model when its unload order arrives. The model is announced as gone at once, and the
     * engine is called only when the requests sent before have ended. If the engine then fails, the model is not
     * announced again.
     */
    @Test
    void unloadIsAnnouncedBeforeItHappens() {
        agent.onMessage(new FenceReplyMessage("e", 1, 1, 10));
        agent.onMessage(order(1, 11, OrderKind.UNLOAD_MODEL, "base"));

        assertThat(agent.models()).isEmpty();
        timers.advance(9 * SECOND);
        assertThat(engine.calls).isEmpty();
        timers.advance(2 * SECOND);
        assertThat(engine.calls).hasSize(1);
        engine.respond(0);
        assertThat(lastReport().outcome()).isEqualTo(OrderOutcome.FAILED);
        assertThat(agent.models()).isEmpty();
    }

    private OrderHandler startAgent(long incarnation) {
        OrderHandler handler = new OrderHandler("e", incarnation, List.of("base"), timers, engine, sent::add, () -> {});
        handler.start();
        return handler;
    }

    private static OrderMessage order(long term, long sequence, OrderKind kind, String subject) {
        return new OrderMessage("e", 1, term, sequence, kind, subject, "/w");
    }

    private OrderReportMessage lastReport() {
        return (OrderReportMessage) sent.get(sent.size() - 1);
    }

    /** An engine whose responses the test controls, and which rejects fencing numbers below a bound if one is set. */
    private static final class FakeEngine implements EngineOrderClient {
        private final List<EngineRequest> calls = new ArrayList<>();
        private final List<EngineRequest> executed = new ArrayList<>();
        private long rejectsBelow;
        private Consumer<Integer> pendingCallback = status -> {};

        @Override
        public void send(EngineRequest request, Consumer<Integer> callback) {
            calls.add(request);
            pendingCallback = callback;
        }

        private void respond(int status) {
            EngineRequest request = calls.get(calls.size() - 1);
            boolean rejected = request.fencingNumber() < rejectsBelow;
            if (!rejected) {
                executed.add(request);
            }
            Consumer<Integer> callback = pendingCallback;
            pendingCallback = s -> {};
            callback.accept(rejected ? 409 : status);
        }

        /** Returns the calls whose fencing number was higher than that of all earlier calls. */
        private List<EngineRequest> withIncreasingNumbers() {
            List<EngineRequest> increasing = new ArrayList<>();
            for (EngineRequest call : calls) {
                if (increasing.isEmpty()
                        || increasing.get(increasing.size() - 1).fencingNumber() < call.fencingNumber()) {
                    increasing.add(call);
                }
            }
            return increasing;
        }
    }
}
