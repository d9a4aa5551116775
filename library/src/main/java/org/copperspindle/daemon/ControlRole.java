package org.copperspindle.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

import org.copperspindle.audit.AuditEndpoint;
import org.copperspindle.audit.AuditStore;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.config.ConfigText;
import org.copperspindle.consensus.ConsensusLog;
import org.copperspindle.consensus.ConsensusSettings;
import org.copperspindle.consensus.VoterAddress;
import org.copperspindle.control.ControlEndpoint;
import org.copperspindle.control.ControlService;
import org.copperspindle.control.ControlState;
import org.copperspindle.core.BackgroundThread;
import org.copperspindle.fleet.FenceQueryMessage;
import org.copperspindle.fleet.OrderReportMessage;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * The control role: a member of the replicated log, with an HTTP endpoint for operators.
 */
final class ControlRole implements ProcessRole {

    private static final Set<Class<? extends WireMessage>> SERVICE_MESSAGES = Set.of(
            LeaseRequestMessage.class,
            ClaimRequestMessage.class,
            ClaimSettleMessage.class,
            FenceQueryMessage.class,
            OrderReportMessage.class);
    private static final int UNAVAILABLE = 503;
    /** Deployment files that may wait to be checked; each may be up to {@link ConfigText#MAX_BYTES} long. */
    private static final int MAX_QUEUED_CHECKS = 8;

    private static final String LOG_FOLDER = "log";
    private static final String AUDIT_FOLDER = "audit";
    /** Operators send complete deployment files, so bodies may be large; connections are few. */
    private static final HttpLimits OPERATOR_LIMITS =
            new HttpLimits(8192, 16384, ConfigText.MAX_BYTES, 100, Duration.ofSeconds(10));

    private final ProcessContext context;
    private final ConsensusLog log;
    private final ControlService service;
    private final AuditStore audit;
    private final HttpListener operatorListener;
    private volatile AuditEndpoint auditEndpoint;
    private volatile ProbeEndpoint endpoint;

    ControlRole(ProcessContext context, ProcessSettings.ControlSettings settings) {
        this.context = context;
        this.operatorListener = new HttpListener(settings.listen(), 1, OPERATOR_LIMITS, this::handle);
        ControlState state;
        try {
            this.audit = new AuditStore(settings.dataFolder().resolve(AUDIT_FOLDER));
            state = new ControlState(audit, Clock.systemUTC());
            this.log = ConsensusLog.open(
                    context.ring(), context.timers(), context.transport(), state, consensus(context, settings));
        } catch (IOException e) {
            operatorListener.close();
            // A member can't work without its log. The process fails at startup and changes nothing on disk.
            throw new UncheckedIOException(e);
        }
        this.service = new ControlService(context.ring(), context.timers(), log, state, settings.lease());
        this.auditEndpoint =
                new AuditEndpoint(context.ring(), () -> state.audit().head(), audit);
        Executor checkExecutor = BackgroundThread.create("config-check", MAX_QUEUED_CHECKS);
        this.endpoint = new ProbeEndpoint(
                this::ready, context.metrics()::scrape, new ControlEndpoint(context.ring(), checkExecutor, service));
        ProcessMetrics.publish(context.metrics(), "operators", operatorListener.counters());
    }

    @Override
    public Set<Class<? extends WireMessage>> messages() {
        Set<Class<? extends WireMessage>> all = new HashSet<>(SERVICE_MESSAGES);
        all.addAll(ConsensusLog.messages());
        return all;
    }

    @Override
    public PeerListener listener() {
        return new MessageRouter();
    }

    @Override
    public void start() {
        context.ring().execute(log::start);
        context.ring().execute(service::start);
    }

    @Override
    public boolean ready() {
        return log.isRunning();
    }

    @Override
    public void stop(Runnable done) {
        done.run();
    }

    @Override
    public void close() {
        operatorListener.close();
        log.close();
        audit.close();
    }

    @Override
    public Optional<InetSocketAddress> httpAddress() {
        return Optional.of(operatorListener.address());
    }

    private void handle(HttpExchange exchange) {
        ProbeEndpoint current = endpoint;
        if (current == null) {
            exchange.respond(UNAVAILABLE, "text/plain", Map.of(), "starting".getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (exchange.path().equals(AuditEndpoint.PATH) && exchange.method().equals("GET")) {
            auditEndpoint.handle(exchange);
            return;
        }
        current.handle(exchange);
    }

    private ConsensusSettings consensus(ProcessContext processContext, ProcessSettings.ControlSettings settings) {
        String name = processContext.settings().id();
        InetSocketAddress own = settings.voters().stream()
                .filter(v -> v.name().equals(name))
                .map(VoterAddress::address)
                .findFirst()
                .orElse(processContext.wireAddress());
        List<VoterAddress> voters =
                settings.voters().isEmpty() ? List.of(new VoterAddress(name, own)) : settings.voters();
        return new ConsensusSettings(
                settings.group(),
                name,
                own,
                operatorListener.address(),
                voters,
                settings.dataFolder().resolve(LOG_FOLDER),
                settings.electionTimeout());
    }

    /** Routes messages between control members to the log and all others to the service. */
    private final class MessageRouter implements PeerListener {
        @Override
        public boolean onOpen(Peer peer) {
            return service.onOpen(peer);
        }

        @Override
        public boolean onMessage(Peer peer, WireMessage message) {
            return SERVICE_MESSAGES.contains(message.getClass())
                    ? service.onMessage(peer, message)
                    : log.onMessage(peer, message);
        }

        @Override
        public boolean onClose(Peer peer) {
            return service.onClose(peer);
        }
    }
}
