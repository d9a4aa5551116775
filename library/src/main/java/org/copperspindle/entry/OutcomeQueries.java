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
 * Asks agents for the outcomes that they keep, and asks again until an outcome comes or nobody waits for it.
 */
final class OutcomeQueries {

    /** An agent that comes back this quickly is asked for a repeatable stage's outcome before the stage is rerun. */
    private static final long ASK_AGAIN_NANOS = Duration.ofMillis(250).toNanos();

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

    /** Asks for the outcome of an attempt, of this request's own or one that it follows. */
    void query(OpenRequest open, PipelineAction.Query query) {
        OpenAttempt asked = open.attempt(query.attemptId())
                .orElseGet(() -> attempts.add(
                        new OpenAttempt(open, query.attemptId(), null, Optional.empty(), timers.nanoTime())));
        asked.timer(timers.schedule(query.delay().toNanos(), () -> ask(asked, query)));
    }

    private void ask(OpenAttempt attempt, PipelineAction.Query query) {
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
        attempt.timer(timers.schedule(ASK_AGAIN_NANOS, () -> askAgain(attempt, query)));
        agents.send(
                agent,
                new OutcomeQueryMessage(
                        query.attemptId(), query.incarnation(), query.clockMicros(), !query.repeatable()));
    }

    private void askAgain(OpenAttempt attempt, PipelineAction.Query query) {
        if (!attempts.isOpen(attempt)) {
            return;
        }
        if (agents.isOpen(attempt.agent())) {
            // The agent is there and silent: the attempt still runs. Asked again in case the question was lost.
            attempt.timer(timers.schedule(ASK_AGAIN_NANOS, () -> ask(attempt, query)));
        } else {
            handler.unreachable(attempt, false);
        }
    }

    /** Told of attempts whose agent can't be asked. */
    interface UnreachableHandler {

        /**
         * The agent of an attempt could not be asked.
         *
         * @param attempt the attempt
         * @param gone    whether its upstream is no longer known
         */
        void unreachable(OpenAttempt attempt, boolean gone);
    }
}
