package org.copperspindle.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.control.ControlState;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/**
 * Carries out the actions of the {@link FleetPlanner} on the leader: commits the orders in the log, sends them to the
 * agents and processes the reports. A member that is not the leader sends nothing. Runs on the decision ring.
 */
public final class FleetService {

    private static final Logger LOGGER = LogManager.getLogger(FleetService.class);
    private static final long PLANNING_INTERVAL_NANOS = 1_000_000_000L;
    private static final int PLANNING_ROUNDS_PER_RESEND = 5;

    private final TimerService timers;
    private final ReplicatedLog log;
    private final ControlState state;
    private final Function<String, Optional<Peer>> agents;
    private final Map<String, Long> closing = new HashMap<>();
    private Optional<FleetPlanner> planner = Optional.empty();
    private FleetPlan plan = FleetPlan.EMPTY;
    private long term;
    private long plannedVersion;
    private long rounds;

    /**
     * Creates the service.
     *
     * @param timers timer service
     * @param log    replicated log
     * @param state  state to which the log is applied
     * @param agents returns the connection to an upstream's agent
     */
    public FleetService(
            TimerService timers, ReplicatedLog log, ControlState state, Function<String, Optional<Peer>> agents) {
        this.timers = timers;
        this.log = log;
        this.state = state;
        this.agents = agents;
    }

    /** Starts periodic planning, which is active while this member is the leader. */
    public void start() {
        timers.schedule(PLANNING_INTERVAL_NANOS, () -> {
            planRound();
            start();
        });
    }

    /**
     * Handles a message from an agent.
     *
     * @param peer    connection to the agent
     * @param message the message
     * @return false if the message does not concern orders
     */
    public boolean onMessage(Peer peer, WireMessage message) {
        if (message instanceof FenceQueryMessage query) {
            replyToQuery(peer, query);
        } else if (message instanceof OrderReportMessage report) {
            onReport(peer, report);
        } else {
            return false;
        }
        return true;
    }

    private void replyToQuery(Peer peer, FenceQueryMessage query) {
        long queryTerm = log.term();
        // Only a leader with a quorum can commit the query. A leader that is isolated and unaware of its replacement
        // would otherwise confirm its outdated number to an agent that has lost its state.
        log.propose(state.encode(new FenceCommand(query.upstreamId(), query.incarnation())), result -> {
            if (result instanceof ProposalResult.Committed committed && log.leads() && log.term() == queryTerm) {
                peer.send(new FenceReplyMessage(query.upstreamId(), query.incarnation(), queryTerm, committed.index()));
            }
        });
    }

    private void onReport(Peer peer, OrderReportMessage report) {
        Optional<OpenOrder> order =
                state.orders().find(report.upstreamId()).filter(o -> o.sequence() == report.sequence());
        if (order.isEmpty()) {
            peer.send(new OrderReportAckMessage(report.upstreamId(), report.sequence()));
            return;
        }
        close(
                order.get(),
                report.outcome(),
                report.reason(),
                () -> peer.send(new OrderReportAckMessage(report.upstreamId(), report.sequence())));
    }

    private void close(OpenOrder order, OrderOutcome outcome, String reason, Runnable committed) {
        if (closing.putIfAbsent(order.upstreamId(), order.sequence()) != null) {
            return;
        }
        CloseOrderCommand command = new CloseOrderCommand(order.upstreamId(), order.sequence(), outcome, reason);
        log.propose(state.encode(command), result -> {
            closing.remove(order.upstreamId());
            if (result instanceof ProposalResult.Committed) {
                planner.ifPresent(p -> p.onEnded(order, outcome, timers.nanoTime()));
                committed.run();
            }
        });
    }

    private void planRound() {
        if (!leads()) {
            return;
        }
        updatePlan();
        rounds++;
        if (rounds % PLANNING_ROUNDS_PER_RESEND == 0) {
            state.orders().all().values().forEach(this::send);
        }
        List<FleetAction> actions = planner.orElseThrow()
                .plan(state.upstreams().all(), state.orders().all(), timers.nanoTime());
        for (FleetAction action : actions) {
            if (action instanceof FleetAction.Place place) {
                place(place);
            } else if (action instanceof FleetAction.Withdraw withdraw) {
                close(withdraw.order(), OrderOutcome.WITHDRAWN, withdraw.reason(), () -> {});
            }
        }
    }

    private boolean leads() {
        long now = log.leads() ? log.term() : 0;
        if (now != term) {
            term = now;
            plannedVersion = -1;
            closing.clear();
            planner = now == 0 ? Optional.empty() : Optional.of(new FleetPlanner(timers.nanoTime()));
            if (now != 0) {
                // Reissues the orders that the previous leader left open, under numbers that agents accept.
                List.copyOf(state.orders().all().values())
                        .forEach(o -> place(new FleetAction.Place(o.upstreamId(), o.kind(), o.subject())));
            }
        }
        return now != 0;
    }

    private void updatePlan() {
        long newest = state.config().version();
        if (newest == plannedVersion) {
            return;
        }
        plannedVersion = newest;
        try {
            plan = PlacementLoader.parse(state.config().text());
            planner.orElseThrow().onPlan(plan);
        } catch (SettingsException e) {
            // The configuration was validated before it was accepted, so this build must be older than the
            // configuration. The previous plan stays in effect.
            LOGGER.error("event=placement-unreadable version={}", newest, e);
        }
    }

    private void place(FleetAction.Place place) {
        long proposalTerm = term;
        PlaceOrderCommand command =
                new PlaceOrderCommand(place.upstreamId(), proposalTerm, place.kind(), place.subject());
        log.propose(state.encode(command), result -> {
            planner.ifPresent(p -> p.onProposed(place.upstreamId()));
            if (result instanceof ProposalResult.Committed) {
                state.orders().find(place.upstreamId()).ifPresent(this::send);
            }
        });
    }

    private String weightsPath(String pool) {
        return plan.pools().stream()
                .filter(p -> p.pool().equals(pool))
                .map(PlacementSettings::weightsPath)
                .findFirst()
                .orElse("");
    }

    /** Sends or resends an order; the agent ignores duplicates. */
    private void send(OpenOrder order) {
        // A leader that was isolated and replaced drops its queued orders here. They are committed, so the next leader
        // knows them.
        if (!log.leads() || log.term() != order.term()) {
            return;
        }
        UpstreamAnnouncement upstream = state.upstreams().all().get(order.upstreamId());
        if (upstream == null) {
            return;
        }
        OrderMessage message = new OrderMessage(
                order.upstreamId(),
                upstream.incarnation(),
                order.term(),
                order.sequence(),
                order.kind(),
                order.subject(),
                weightsPath(upstream.pool()));
        boolean sent =
                agents.apply(order.upstreamId()).map(peer -> peer.send(message)).orElse(false);
        LOGGER.info(
                "event=order-sent order={} kind={} subject={} term={} sent={}",
                message.orderId(),
                order.kind(),
                order.subject(),
                order.term(),
                sent);
    }
}
