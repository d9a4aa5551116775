package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.copperspindle.claims.ClaimClient;
import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.limits.EntryPolicyFactory;
import org.copperspindle.limits.PolicyKind;
import org.copperspindle.measure.EntryMetrics;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.FleetView;
import org.copperspindle.wire.WireMessage;

/** One incarnation of an entry: the real driver and claim client on simulated connections. */
final class SimulatedEntry implements AgentPort {

    private static final int MAX_IN_PROGRESS = 1000;

    private final SimulatedDeployment deployment;
    private final Map<InetSocketAddress, SimulatedConnection> connections = new HashMap<>();
    private final List<SimulatedCaller> callers = new ArrayList<>();
    private final FleetView fleet = new FleetView();
    private final EntryPolicy policy = EntryPolicyFactory.of(PolicyKind.LEAST_LOAD, fleet, MAX_IN_PROGRESS);
    private final ClaimClient claims;
    private final RequestDriver driver;
    private final DeploymentView view;
    private boolean dead;

    SimulatedEntry(SimulatedDeployment deployment, DeploymentView view) {
        this.deployment = deployment;
        this.view = view;
        this.claims = new ClaimClient(deployment.timers(), this::toControl);
        this.driver = new RequestDriver(deployment.timers(), this, claims, fleet, policy, EntryMetrics.NONE);
    }

    void update(ControlUpdateMessage update) {
        fleet.update(update);
    }

    void arrive(SimulatedCaller caller, boolean streaming, byte[] body) {
        callers.add(caller);
        AccountSettings account = view.deployment().accounts().get("gallery");
        PipelineRequest request = new PipelineRequest(
                caller.requestId(),
                account,
                caller.key(),
                view.deployment().pipelines().get(caller.pipeline()),
                body,
                DeploymentView.sha256(body),
                Priority.STANDARD,
                caller.deadline(),
                streaming);
        policy.tryAdmit(request, deployment.timers().nanoTime());
        driver.open(request, new RunChooser(view, "north", request, policy, deployment.timers(), this), caller);
    }

    void callerLeaves(SimulatedCaller caller) {
        if (!dead && callers.contains(caller) && caller.ends() == 0) {
            caller.leave();
            driver.callerLeft(caller.requestId());
        }
    }

    /** Crashes this incarnation: its state is lost, and its callers see a broken connection. */
    void die() {
        dead = true;
        callers.stream().filter(c -> c.ends() == 0).forEach(SimulatedCaller::leave);
        List.copyOf(connections.values()).forEach(SimulatedConnection::cut);
    }

    /** Breaks all connections; both sides stay alive. */
    void cutAll() {
        List.copyOf(connections.values()).forEach(SimulatedConnection::cut);
    }

    Set<InetSocketAddress> openConnections() {
        return connections.keySet();
    }

    /** Breaks the connection to an agent whose process crashed. */
    void cutTo(InetSocketAddress agent) {
        if (connections.containsKey(agent)) {
            connections.get(agent).cut();
        }
    }

    boolean dead() {
        return dead;
    }

    RequestDriver driver() {
        return driver;
    }

    ClaimClient claims() {
        return claims;
    }

    FleetView fleet() {
        return fleet;
    }

    @Override
    public void send(InetSocketAddress agent, WireMessage message) {
        if (dead) {
            return;
        }
        connections
                .computeIfAbsent(agent, a -> new SimulatedConnection(deployment, this, a))
                .toAgent(message);
    }

    @Override
    public boolean isOpen(InetSocketAddress agent) {
        SimulatedConnection connection = connections.get(agent);
        return connection != null && connection.open();
    }

    @Override
    public long clockMicros(InetSocketAddress agent, long incarnation) {
        SimulatedConnection connection = connections.get(agent);
        return connection == null ? 0 : connection.clockMicros(incarnation);
    }

    void receive(InetSocketAddress agent, WireMessage message) {
        if (dead) {
            return;
        }
        driver.onMessage(agent, message);
        deployment.maybeCrash(this);
    }

    void notSent(WireMessage message) {
        if (!dead) {
            driver.onNotSent(message);
        }
    }

    void lost(InetSocketAddress agent, SimulatedConnection connection) {
        connections.remove(agent, connection);
        if (!dead) {
            driver.onLinkLost(agent);
        }
    }

    private boolean toControl(WireMessage message) {
        if (!dead) {
            deployment.later(() -> deployment
                    .control()
                    .receive(
                            message,
                            reply -> deployment.later(() -> {
                                if (!dead) {
                                    claims.onReply(reply);
                                    deployment.maybeCrash(this);
                                }
                            })));
        }
        return true;
    }
}
