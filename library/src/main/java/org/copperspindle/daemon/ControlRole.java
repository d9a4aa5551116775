package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.control.ControlDoor;
import org.copperspindle.control.ControlService;
import org.copperspindle.control.ControlState;
import org.copperspindle.control.LocalLog;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * The control role: a member of the replicated log.
 */
final class ControlRole implements ProcessRole {

    private final ProcessContext context;
    private final ReplicatedLog log;
    private final ControlService service;
    private final HttpListener operators;

    ControlRole(ProcessContext context, ProcessSettings.ControlSettings settings) {
        this.context = context;
        ControlState state = new ControlState();
        this.log = new LocalLog(state);
        this.service = new ControlService(context.ring(), context.timers(), log, state, settings.lease());
        ProbeDoor door =
                new ProbeDoor(this::ready, context.metrics()::scrape, new ControlDoor(context.ring(), service));
        this.operators = new HttpListener(settings.listen(), 1, HttpLimits.DEFAULT, door);
        ProcessMetrics.publish(context.metrics(), "operators", operators.counters());
    }

    @Override
    public Set<Class<? extends WireMessage>> messages() {
        return Set.of(LeaseRequestMessage.class, ClaimRequestMessage.class, ClaimSettleMessage.class);
    }

    @Override
    public PeerListener listener() {
        return service;
    }

    @Override
    public void start() {
        context.ring().execute(service::start);
    }

    @Override
    public void stop(Runnable done) {
        done.run();
    }

    @Override
    public void close() {
        operators.close();
        log.close();
    }

    @Override
    public Optional<InetSocketAddress> httpAddress() {
        return Optional.of(operators.address());
    }
}
