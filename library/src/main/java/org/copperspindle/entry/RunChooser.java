package org.copperspindle.entry;

import java.util.Optional;
import java.util.Set;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.StageSettings;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.pipeline.StageContext;
import org.copperspindle.pipeline.UpstreamChooser;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.RoutingPolicy;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * What one run asks of its entry. Holds the configuration that the run was admitted under: with the newest one in its
 * place, a change that drops a pool would end runs that were promised it.
 */
final class RunChooser implements UpstreamChooser {

    private final Deployment deployment;
    private final long version;
    private final String failureDomain;
    private final FleetView fleet;
    private final RoutingPolicy routing;
    private final AgentPort agents;

    RunChooser(DeploymentView view, String failureDomain, FleetView fleet, RoutingPolicy routing, AgentPort agents) {
        this.deployment = view.deployment();
        this.version = view.version();
        this.failureDomain = failureDomain;
        this.fleet = fleet;
        this.routing = routing;
        this.agents = agents;
    }

    @Override
    public Optional<UpstreamAnnouncement> choose(StageSettings stage, StageContext context, Set<String> tried) {
        RoutingRequest request =
                new RoutingRequest(deployment.pools().get(stage.pool()), stage, failureDomain, 0, tried);
        return routing.choose(fleet.pool(stage.pool()), request).map(UpstreamView::announcement);
    }

    @Override
    public PoolKind kind(String pool) {
        return deployment.pools().get(pool).kind();
    }

    @Override
    public boolean mayRetry(PipelineRequest request) {
        return true;
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
