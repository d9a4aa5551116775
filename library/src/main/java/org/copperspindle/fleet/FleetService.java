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
 * The leader's side of orders: commits what the {@link FleetPlanner} wants, sends it, takes the reports. A member that
 * does not lead sends nothing. Runs on the decision ring.
 */
public final class FleetService {

    private static final Logger LOGGER = LogManager.getLogger(FleetService.class);
    private static final long TICK_NANOS = 1_000_000_000L;
    private static final int TICKS_PER_RESEND = 5;

    private final TimerService timers;
    private final ReplicatedLog log;
    private final ControlState state;
    private final Function<String, Optional<Peer>> agents;
    private final Map<String, Long> closing = new HashMap<>();
    private Optional<FleetPlanner> planner = Optional.empty();
    private FleetPlan plan = FleetPlan.EMPTY;
    private long term;
    private long plannedVersion;
    private long ticks;

    /**
     * Creates the service.
     *
     * @param timers time
     * @param log    the log
     * @param state  what the log drives
     * @param agents finds the connection to an upstream's agent
     */
    public FleetService(
            TimerService timers, ReplicatedLog log, ControlState state, Function<String, Optional<Peer>> agents) {
        this.timers = timers;
        this.log = log;
        this.state = state;
        this.agents = agents;
    }

    /** Starts to plan whenever this member leads. */
    public void start() {
        timers.schedule(TICK_NANOS, () -> {
            tick();
            start();
        });
    }

    /**
     * Takes a message of an agent.
     *
     * @param peer    its connection
     * @param message the message
     * @return false if it is not about orders
     */
    public boolean onMessage(Peer peer, WireMessage message) {
        if (message instanceof FenceQueryMessage query) {
            answer(peer, query);
        } else if (message instanceof OrderReportMessage report) {
            receive(peer, report);
        } else {
            return false;
        }
        return true;
    }

    private void answer(Peer peer, FenceQueryMessage query) {
        long asked = log.term();
        // Safeguard: only a leader with a quorum can commit the question. One that was cut off and still believes that
        // it leads would otherwise confirm its own old number to an agent whose memory is gone.
        log.propose(state.encode(new FenceCommand(query.upstreamId(), query.incarnation())), result -> {
            if (result instanceof ProposalResult.Committed committed && log.leads() && log.term() == asked) {
                peer.send(new FenceReplyMessage(query.upstreamId(), query.incarnation(), asked, committed.index()));
            }
        });
    }

    private void receive(Peer peer, OrderReportMessage report) {
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

    private void tick() {
        if (!leads()) {
            return;
        }
        readPlan();
        ticks++;
        if (ticks % TICKS_PER_RESEND == 0) {
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
                // What the leader before left open is given again under a number that agents take.
                List.copyOf(state.orders().all().values())
                        .forEach(o -> place(new FleetAction.Place(o.upstreamId(), o.kind(), o.subject())));
            }
        }
        return now != 0;
    }

    private void readPlan() {
        long newest = state.config().version();
        if (newest == plannedVersion) {
            return;
        }
        plannedVersion = newest;
        try {
            plan = PlacementLoader.parse(state.config().text());
            planner.orElseThrow().onPlan(plan);
        } catch (SettingsException e) {
            // Checked before it was accepted, so this build is older than the configuration: the last plan stays.
            LOGGER.error("event=placement-unreadable version={}", newest, e);
        }
    }

    private void place(FleetAction.Place place) {
        long given = term;
        PlaceOrderCommand command = new PlaceOrderCommand(place.upstreamId(), given, place.kind(), place.subject());
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

    /** Sends an order, or again: a copy does nothing at the agent. */
    private void send(OpenOrder order) {
        // A leader that was cut off finds out here: what waited in its queue is dropped, and known to the next leader.
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
