package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import org.copperspindle.agent.OutcomeQueryMessage;
import org.copperspindle.pipeline.PipelineAction;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.UpstreamView;
import org.copperspindle.time.TimerService;

/**
 * Queries agents for the outcomes that they keep, and repeats a query until an outcome arrives or nobody waits for it.
 */
final class OutcomeQueries {

    /**
     * Interval of repeated queries. An agent that is reachable again within this time is queried for a repeatable
     * stage's outcome before the stage is rerun.
     */
    private static final long QUERY_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    private final TimerService timers;
    private final AgentPort agents;
    private final FleetView fleet;
    private final OpenAttempts attempts;
    private final UnreachableHandler handler;

    OutcomeQueries(
            TimerService timers, AgentPort agents, FleetView fleet, OpenAttempts attempts, UnreachableHandler handler) {
        this.timers = timers;
        this.agents = agents;
        this.fleet = fleet;
        this.attempts = attempts;
        this.handler = handler;
    }

    /** Queries the outcome of an attempt, either of this request or one whose outcome it shares. */
    void query(OpenRequest open, PipelineAction.Query query) {
        OpenAttempt queried = open.attempt(query.attemptId())
                .orElseGet(() -> attempts.add(
                        new OpenAttempt(open, query.attemptId(), null, Optional.empty(), timers.nanoTime())));
        queried.timer(timers.schedule(query.delay().toNanos(), () -> sendQuery(queried, query)));
    }

    private void sendQuery(OpenAttempt attempt, PipelineAction.Query query) {
        if (!attempts.isOpen(attempt)) {
            return;
        }
        Optional<UpstreamView> view = fleet.upstream(query.upstreamId());
        if (view.isEmpty()) {
            handler.unreachable(attempt, true);
            return;
        }
        InetSocketAddress agent = view.get().announcement().agentAddress();
        attempt.agent(agent);
        attempt.timer(timers.schedule(QUERY_INTERVAL_NANOS, () -> onNoOutcome(attempt, query)));
        agents.send(
                agent,
                new OutcomeQueryMessage(
                        query.attemptId(), query.incarnation(), query.clockMicros(), !query.repeatable()));
    }

    private void onNoOutcome(OpenAttempt attempt, PipelineAction.Query query) {
        if (!attempts.isOpen(attempt)) {
            return;
        }
        if (agents.isOpen(attempt.agent())) {
            // The agent is connected and silent: the attempt still runs. The query is repeated in case it was lost.
            attempt.timer(timers.schedule(QUERY_INTERVAL_NANOS, () -> sendQuery(attempt, query)));
        } else {
            handler.unreachable(attempt, false);
        }
    }

    /** Handles attempts whose agent can't be queried. */
    interface UnreachableHandler {

        /**
         * Handles an attempt whose agent could not be queried.
         *
         * @param attempt the attempt
         * @param gone    whether its upstream is no longer known
         */
        void unreachable(OpenAttempt attempt, boolean gone);
    }
}
