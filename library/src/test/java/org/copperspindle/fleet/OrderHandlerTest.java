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
 * Orders that must not reach an engine, at the agent beside it.
 */
class OrderHandlerTest {

    private static final long SECOND = 1_000_000_000L;

    private final VirtualTimerService timers = new VirtualTimerService();
    private final FakeEngine engine = new FakeEngine();
    private final List<WireMessage> sent = new ArrayList<>();
    private OrderHandler agent = startAgent(1);

    /**
     * Leader 1 is cut off with an order in its queue. The agent's lease is prolonged by leader 2 and nothing else comes
     * from that one. Leader 1 wakes and its queue arrives: nothing reaches the engine, which would have obeyed.
     */
    @Test
    void queueOfReplacedLeaderHasNoEffect() {
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
     * The network delivers an order three times: while the engine works on it, after it has ended, and after 100 later
     * orders, when its report is forgotten. The engine is called once for it, and the report is told again while known.
     */
    @Test
    void doubledOrderIsCarriedOutOnce() {
        agent.onMessage(new FenceReplyMessage("e", 1, 1, 10));
        OrderMessage order = order(1, 11, OrderKind.LOAD_MODEL, "m");
        agent.onMessage(order);
        agent.onMessage(order);
        engine.answer(200);
        agent.onMessage(order);
        assertThat(lastReport().outcome()).isEqualTo(OrderOutcome.DONE);
        for (int i = 0; i < 100; i++) {
            agent.onMessage(order(1, 12 + i, OrderKind.CHANGE_ROLE, "decode"));
            engine.answer(200);
        }

        agent.onMessage(order);

        assertThat(engine.calls).filteredOn(c -> c.orderId().equals("e/11")).hasSize(1);
        assertThat(engine.highestOnly()).hasSize(101);
    }

    /**
     * The agent dies and comes back without a memory. An order that was given before arrives late, first before the
     * leader has answered the new life's question and then after. Neither copy reaches the engine, though both are
     * addressed to the new life; an order given after the answer does.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void restartedAgentPassesNothingBeforeItKnowsTheNumber(boolean answered) {
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
     * As above for a pool whose engines check numbers themselves. The agent need not wait for the answer: the engine
     * has seen 40 and refuses 11 itself, which the agent reports as never carried out.
     */
    @Test
    void checkingEngineRefusesTheLowerNumberItself() {
        engine.refusesBelow = 40;
        agent.stop();
        agent = startAgent(2);
        agent.onConfiguration(true);

        agent.onMessage(new OrderMessage("e", 2, 1, 11, OrderKind.LOAD_MODEL, "m", "/w"));
        engine.answer(200);

        assertThat(engine.obeyed).isEmpty();
        assertThat(lastReport().outcome()).isEqualTo(OrderOutcome.REFUSED);
        assertThat(lastReport().reason()).isEqualTo("engine-refused-number");
        assertThat(agent.models()).containsExactly("base");
    }

    /**
     * Leader 1 dies while the engine loads. Leader 2 knows the open order and gives it again under its own number. The
     * engine is not called a second time; the report carries the number that leader 2 waits for.
     */
    @Test
    void nextLeaderTakesOverTheOrderUnderWay() {
        agent.onMessage(new FenceReplyMessage("e", 1, 1, 10));
        agent.onMessage(order(1, 11, OrderKind.LOAD_MODEL, "m"));
        agent.onTerm(2);
        agent.onMessage(order(2, 15, OrderKind.LOAD_MODEL, "m"));

        engine.answer(200);

        assertThat(engine.calls).hasSize(1);
        assertThat(lastReport()).isEqualTo(new OrderReportMessage("e", 1, 15, OrderOutcome.DONE, ""));
        assertThat(agent.models()).containsExactly("base", "m");
    }

    /**
     * The report is lost with the leader. It is sent again until a leader says that it is committed, and not after.
     */
    @Test
    void reportIsSentUntilCommitted() {
        agent.onMessage(new FenceReplyMessage("e", 1, 1, 10));
        agent.onMessage(order(1, 11, OrderKind.LOAD_MODEL, "m"));
        engine.answer(500);
        sent.clear();

        timers.advance(3 * SECOND);
        agent.onMessage(new OrderReportAckMessage("e", 11));
        timers.advance(3 * SECOND);

        assertThat(sent).hasSize(3).containsOnly(new OrderReportMessage("e", 1, 11, OrderOutcome.FAILED, "status 500"));
    }

    /**
     * Entries still route to a model when its unload arrives. It is announced as gone at once, and the engine is told
     * only when requests sent before have ended; if the engine fails then, the model stays out of the announcement.
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
        engine.answer(0);
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

    /** An engine that answers when the test says so, and checks numbers if it is told a bound. */
    private static final class FakeEngine implements EngineOrderClient {
        private final List<EngineRequest> calls = new ArrayList<>();
        private final List<EngineRequest> obeyed = new ArrayList<>();
        private long refusesBelow;
        private Consumer<Integer> waiting = status -> {};

        @Override
        public void send(EngineRequest request, Consumer<Integer> callback) {
            calls.add(request);
            waiting = callback;
        }

        private void answer(int status) {
            EngineRequest request = calls.get(calls.size() - 1);
            boolean refuses = request.fencingNumber() < refusesBelow;
            if (!refuses) {
                obeyed.add(request);
            }
            Consumer<Integer> callback = waiting;
            waiting = s -> {};
            callback.accept(refuses ? 409 : status);
        }

        /** Returns the calls whose number was above all before. */
        private List<EngineRequest> highestOnly() {
            List<EngineRequest> rising = new ArrayList<>();
            for (EngineRequest call : calls) {
                if (rising.isEmpty() || rising.get(rising.size() - 1).fencingNumber() < call.fencingNumber()) {
                    rising.add(call);
                }
            }
            return rising;
        }
    }
}
