package org.copperspindle.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Clock;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.audit.AuditDoor;
import org.copperspindle.audit.AuditStore;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.control.ControlDoor;
import org.copperspindle.control.ControlService;
import org.copperspindle.control.ControlState;
import org.copperspindle.control.LocalLog;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.http.HttpRequestHandler;
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
    private final AuditStore audit;
    private final HttpListener operators;

    ControlRole(ProcessContext context, ProcessSettings.ControlSettings settings) {
        this.context = context;
        this.audit = openAudit(settings.dataFolder().resolve("audit"));
        ControlState state = new ControlState(audit, Clock.systemUTC());
        this.log = new LocalLog(state);
        this.service = new ControlService(context.ring(), context.timers(), log, state, settings.lease());
        this.operators = new HttpListener(settings.listen(), 1, HttpLimits.DEFAULT, door(state));
    }

    private HttpRequestHandler door(ControlState state) {
        HttpRequestHandler control = new ControlDoor(context.ring(), service);
        HttpRequestHandler trail =
                new AuditDoor(context.ring(), () -> state.audit().head(), audit);
        return exchange -> {
            boolean reads =
                    exchange.path().equals(AuditDoor.PATH) && exchange.method().equals("GET");
            (reads ? trail : control).handle(exchange);
        };
    }

    private static AuditStore openAudit(Path folder) {
        try {
            return new AuditStore(folder);
        } catch (IOException e) {
            throw new UncheckedIOException("the audit trail can't be opened", e);
        }
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
        audit.close();
    }

    @Override
    public Optional<InetSocketAddress> httpAddress() {
        return Optional.of(operators.address());
    }
}
