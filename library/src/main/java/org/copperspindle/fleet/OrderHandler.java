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
 * Executes orders at an agent: requests the current fencing number from the leader, forwards the orders that its
 * {@link FencingGuard} accepts to the engine, and sends each report until the leader has committed it. Runs on the
 * agent's decision ring.
 */
public final class OrderHandler {

    private static final Logger LOGGER = LogManager.getLogger(OrderHandler.class);
    private static final long RESEND_NANOS = 1_000_000_000L;

    /**
     * Covers the longest time until entries have received an announcement, and the longest deadline of a request sent
     * just before.
     */
    private static final long UNLOAD_GRACE_NANOS = 10_000_000_000L;

    /** HTTP status by which an engine rejects an outdated fencing number. */
    private static final int STATUS_CONFLICT = 409;

    private final String upstreamId;
    private long incarnation;
    private final TimerService timers;
    private final EngineOrderClient engine;
    private final Predicate<WireMessage> control;
    private final Runnable modelsChanged;
    private FencingGuard guard;
    private final List<String> models;
    private Optional<OrderReportMessage> unacknowledged = Optional.empty();
    private boolean engineChecksFencing;
    private boolean stopped;

    /**
     * Creates the handler of an agent that has just started.
     *
     * @param upstreamId    upstream of the agent
     * @param incarnation   incarnation of the agent
     * @param models        models and adapters that the engine serves at start
     * @param timers        timer service
     * @param engine        client for calls to the engine
     * @param control       sends a message to the leader; returns false if there is no connection
     * @param modelsChanged called when {@link #models()} has changed and must be announced
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

    /** Starts sending the fence query and unacknowledged reports periodically. */
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

    /** Stops the periodic sending. */
    public void stop() {
        stopped = true;
    }

    /**
     * Records the term of the leader that has renewed the agent's lease.
     *
     * @param term term of the leader
     */
    public void onTerm(long term) {
        guard.raiseTerm(term);
    }

    /**
     * Continues as another incarnation. The confirmed fencing number is discarded, as after a restart.
     *
     * @param newIncarnation the new incarnation
     */
    public void onIncarnation(long newIncarnation) {
        incarnation = newIncarnation;
        guard = new FencingGuard(upstreamId, newIncarnation);
        guard.engineChecksFencing(engineChecksFencing);
    }

    /**
     * Applies the settings of the pool from a new configuration.
     *
     * @param checks whether its engines themselves reject outdated fencing numbers
     */
    public void onConfiguration(boolean checks) {
        engineChecksFencing = checks;
        guard.engineChecksFencing(checks);
    }

    /**
     * Returns the models and adapters that the engine serves.
     *
     * @return names of models and adapters
     */
    public List<String> models() {
        return List.copyOf(models);
    }

    /**
     * Handles a message from the leader.
     *
     * @param message the message
     * @return false if the message does not concern orders
     */
    public boolean onMessage(WireMessage message) {
        if (message instanceof OrderMessage order) {
            onOrder(order);
        } else if (message instanceof FenceReplyMessage reply) {
            guard.confirm(reply);
        } else if (message instanceof OrderReportAckMessage ack) {
            unacknowledged = unacknowledged.filter(report -> report.sequence() != ack.sequence());
        } else {
            return false;
        }
        return true;
    }

    private void onOrder(OrderMessage order) {
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
            complete(order, OrderOutcome.REFUSED, refuse.reason());
        } else if (verdict instanceof FencingVerdict.Pass) {
            LOGGER.info(
                    "event=order-passed order={} kind={} subject={} term={}",
                    order.orderId(),
                    order.kind(),
                    order.subject(),
                    order.term());
            execute(order);
        }
    }

    private void execute(OrderMessage order) {
        if (order.kind().loads() && models.contains(order.subject())
                || order.kind().unloads() && !models.contains(order.subject())) {
            complete(order, OrderOutcome.DONE, "nothing to do");
            return;
        }
        if (!order.kind().unloads()) {
            callEngine(order);
            return;
        }
        // Entries route to the model until they have received the announcement that it is gone, and requests that they
        // sent before would fail in the engine. The model is therefore announced as gone first, and unloaded once those
        // requests have ended.
        models.remove(order.subject());
        modelsChanged.run();
        timers.schedule(UNLOAD_GRACE_NANOS, () -> callEngine(order));
    }

    private void callEngine(OrderMessage order) {
        engine.send(
                EngineRequest.of(order),
                status -> onEngineResponse(guard.running().orElse(order), status));
    }

    private void onEngineResponse(OrderMessage order, int status) {
        if (status >= 200 && status < 300) {
            if (order.kind().loads()) {
                models.add(order.subject());
                modelsChanged.run();
            }
            complete(order, OrderOutcome.DONE, "");
        } else if (status == STATUS_CONFLICT) {
            restoreModel(order);
            complete(order, OrderOutcome.REFUSED, "engine-refused-number");
        } else {
            // A model whose unload failed is not announced again, because it is unknown whether the engine still serves
            // it.
            complete(
                    order,
                    OrderOutcome.FAILED,
                    status == EngineOrderClient.NO_RESPONSE ? "no answer" : "status " + status);
        }
    }

    private void restoreModel(OrderMessage order) {
        if (order.kind().unloads() && !models.contains(order.subject())) {
            models.add(order.subject());
            modelsChanged.run();
        }
    }

    private void complete(OrderMessage order, OrderOutcome outcome, String reason) {
        OrderReportMessage report =
                new OrderReportMessage(order.upstreamId(), incarnation, order.sequence(), outcome, reason);
        LOGGER.info("event=order-ended order={} outcome={} reason=\"{}\"", order.orderId(), outcome, reason);
        guard.recordReport(report);
        // The leader waits only for the report of the newest order; it has abandoned older ones.
        if (unacknowledged.map(u -> u.sequence() < report.sequence()).orElse(true)) {
            unacknowledged = Optional.of(report);
        }
        control.test(report);
    }
}
