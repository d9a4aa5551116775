package org.copperspindle.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.PoolSettings;
import org.copperspindle.config.StageSettings;
import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.pipeline.StageContext;
import org.copperspindle.pipeline.UpstreamChooser;
import org.copperspindle.routing.PrefixAffinity;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;
import org.copperspindle.time.TimerService;

/**
 * Upstream choices for one run of a request. It uses the configuration that the request was admitted under: under the
 * newest one, a change that removes a pool would end runs that were admitted with it.
 */
final class RunChooser implements UpstreamChooser {

    private final Deployment deployment;
    private final long version;
    private final String failureDomain;
    private final PipelineRequest request;
    private final EntryPolicy policy;
    private final TimerService timers;
    private final AgentPort agents;
    private RoutingRequest lastRoutingRequest;

    RunChooser(
            DeploymentView view,
            String failureDomain,
            PipelineRequest request,
            EntryPolicy policy,
            TimerService timers,
            AgentPort agents) {
        this.deployment = view.deployment();
        this.version = view.version();
        this.failureDomain = failureDomain;
        this.request = request;
        this.policy = policy;
        this.timers = timers;
        this.agents = agents;
    }

    @Override
    public Optional<UpstreamAnnouncement> choose(StageSettings stage, StageContext context, Set<String> tried) {
        PoolSettings pool = deployment.pools().get(stage.pool());
        long affinity = pool.kind() == PoolKind.ENGINE ? PrefixAffinity.hash(context.input()) : 0;
        lastRoutingRequest = new RoutingRequest(
                pool, stage, failureDomain, affinity, tried, request.priority(), timers.nanoTime(), 1);
        return policy.choose(request, lastRoutingRequest, timers.nanoTime()).map(UpstreamView::announcement);
    }

    @Override
    public PoolKind kind(String pool) {
        return deployment.pools().get(pool).kind();
    }

    @Override
    public boolean mayRetry(PipelineRequest retried) {
        return policy.mayRetry(retried);
    }

    @Override
    public boolean mayWait(PipelineRequest waiting, StageSettings stage) {
        return policy.mayWait(waiting, stage);
    }

    @Override
    public long enqueue(PipelineRequest waiting, long now) {
        return policy.enqueue(waiting, lastRoutingRequest, now);
    }

    @Override
    public Optional<Duration> retryAfterIfUnreachable(PipelineRequest checked, int stageIndex, long now) {
        return policy.retryAfterIfUnreachable(checked, stageIndex, now);
    }

    @Override
    public long agentClock(UpstreamAnnouncement upstream) {
        return agents.clockMicros(upstream.agentAddress(), upstream.incarnation());
    }

    @Override
    public long configVersion() {
        return version;
    }
}
