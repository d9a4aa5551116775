package org.copperspindle.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * The agent's side of orders: asks for the current number, passes what its {@link FencingGuard} lets through, reports
 * until the leader has committed the report. Runs on the agent's decision ring.
 */
public final class OrderHandler {

    private static final Logger LOGGER = LogManager.getLogger(OrderHandler.class);
    private static final long RESEND_NANOS = 1_000_000_000L;

    /** Longest time until entries have heard of a change, and the longest deadline of a request sent just before. */
    private static final long UNLOAD_GRACE_NANOS = 10_000_000_000L;

    /** What an engine answers that refuses an old number. */
    private static final int CONFLICT = 409;

    private final String upstreamId;
    private long incarnation;
    private final TimerService timers;
    private final EngineOrderClient engine;
    private final Predicate<WireMessage> control;
    private final Runnable modelsChanged;
    private FencingGuard guard;
    private final List<String> models;
    private Optional<OrderReportMessage> unacknowledged = Optional.empty();
    private boolean engineChecks;
    private boolean stopped;

    /**
     * Creates the handler of an agent that has just started.
     *
     * @param upstreamId    its upstream
     * @param incarnation   its life
     * @param models        what the engine serves at start
     * @param timers        time
     * @param engine        calls the engine
     * @param control       sends to the leader; false if there is no connection
     * @param modelsChanged told when {@link #models()} has changed and must be announced
     */
    public OrderHandler(
            String upstreamId,
            long incarnation,
            List<String> models,
            TimerService timers,
            EngineOrderClient engine,
            Predicate<WireMessage> control,
            Runnable modelsChanged) {
        this.upstreamId = upstreamId;
        this.incarnation = incarnation;
        this.models = new ArrayList<>(models);
        this.timers = timers;
        this.engine = engine;
        this.control = control;
        this.modelsChanged = modelsChanged;
        this.guard = new FencingGuard(upstreamId, incarnation);
    }

    /** Starts to ask and to report. */
    public void start() {
        if (stopped) {
            return;
        }
        if (!guard.confirmed()) {
            control.test(new FenceQueryMessage(upstreamId, incarnation));
        }
        unacknowledged.ifPresent(control::test);
        timers.schedule(RESEND_NANOS, this::start);
    }

    /** Stops asking and reporting. */
    public void stop() {
        stopped = true;
    }

    /**
     * Takes the term of the leader that prolonged the agent's lease.
     *
     * @param term its term
     */
    public void onTerm(long term) {
        guard.raise(term);
    }

    /**
     * Goes on as another life. What the old number was good for is void, as after a restart.
     *
     * @param raised the new incarnation
     */
    public void onIncarnation(long raised) {
        incarnation = raised;
        guard = new FencingGuard(upstreamId, raised);
        guard.engineChecks(engineChecks);
    }

    /**
     * Takes what a new configuration says of the pool.
     *
     * @param checks whether its engines refuse old numbers themselves
     */
    public void onConfiguration(boolean checks) {
        engineChecks = checks;
        guard.engineChecks(checks);
    }

    /**
     * Returns what the engine serves.
     *
     * @return names of models and adapters
     */
    public List<String> models() {
        return List.copyOf(models);
    }

    /**
     * Takes a message of the leader.
     *
     * @param message the message
     * @return false if it is not about orders
     */
    public boolean onMessage(WireMessage message) {
        if (message instanceof OrderMessage order) {
            receive(order);
        } else if (message instanceof FenceReplyMessage reply) {
            guard.confirm(reply);
        } else if (message instanceof OrderReportAckMessage ack) {
            unacknowledged = unacknowledged.filter(report -> report.sequence() != ack.sequence());
        } else {
            return false;
        }
        return true;
    }

    private void receive(OrderMessage order) {
        FencingVerdict verdict = guard.check(order);
        if (verdict instanceof FencingVerdict.Repeat repeat) {
            control.test(repeat.report());
        } else if (verdict instanceof FencingVerdict.Refuse refuse) {
            LOGGER.warn(
                    "event=order-refused order={} kind={} term={} reason={}",
                    order.orderId(),
                    order.kind(),
                    order.term(),
                    refuse.reason());
            end(order, OrderOutcome.REFUSED, refuse.reason());
        } else if (verdict instanceof FencingVerdict.Pass) {
            LOGGER.info(
                    "event=order-passed order={} kind={} subject={} term={}",
                    order.orderId(),
                    order.kind(),
                    order.subject(),
                    order.term());
            carryOut(order);
        }
    }

    private void carryOut(OrderMessage order) {
        if (order.kind().loads() && models.contains(order.subject())
                || order.kind().unloads() && !models.contains(order.subject())) {
            end(order, OrderOutcome.DONE, "nothing to do");
            return;
        }
        if (!order.kind().unloads()) {
            call(order);
            return;
        }
        // Entries route to the model until they have heard that it is gone; requests that they have sent by then
        // would fail in the engine. So it is announced as gone first, and unloaded once those have ended.
        models.remove(order.subject());
        modelsChanged.run();
        timers.schedule(UNLOAD_GRACE_NANOS, () -> call(order));
    }

    private void call(OrderMessage order) {
        engine.send(EngineRequest.of(order), status -> answered(guard.running().orElse(order), status));
    }

    private void answered(OrderMessage order, int status) {
        if (status >= 200 && status < 300) {
            if (order.kind().loads()) {
                models.add(order.subject());
                modelsChanged.run();
            }
            end(order, OrderOutcome.DONE, "");
        } else if (status == CONFLICT) {
            restore(order);
            end(order, OrderOutcome.REFUSED, "engine-refused-number");
        } else {
            // A model whose unloading failed stays out of the announcement: whether it still serves is not known.
            end(order, OrderOutcome.FAILED, status == EngineOrderClient.NO_ANSWER ? "no answer" : "status " + status);
        }
    }

    private void restore(OrderMessage order) {
        if (order.kind().unloads() && !models.contains(order.subject())) {
            models.add(order.subject());
            modelsChanged.run();
        }
    }

    private void end(OrderMessage order, OrderOutcome outcome, String reason) {
        OrderReportMessage report =
                new OrderReportMessage(order.upstreamId(), incarnation, order.sequence(), outcome, reason);
        LOGGER.info("event=order-ended order={} outcome={} reason=\"{}\"", order.orderId(), outcome, reason);
        guard.ended(report);
        // The report of the newest order is what the leader waits for; of an older one it has given up.
        if (unacknowledged.map(u -> u.sequence() < report.sequence()).orElse(true)) {
            unacknowledged = Optional.of(report);
        }
        control.test(report);
    }
}
