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

import org.copperspindle.audit.AuditDoor;
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
 * The control role: a member of the replicated log.
 */
final class ControlRole implements ProcessRole {

    private static final Set<Class<? extends WireMessage>> SERVICE_MESSAGES = Set.of(
            LeaseRequestMessage.class,
            ClaimRequestMessage.class,
            ClaimSettleMessage.class,
            FenceQueryMessage.class,
            OrderReportMessage.class);
    private static final int UNAVAILABLE = 503;
    /** Whole files that wait for their check; each may be as long as the longest text. */
    private static final int WAITING_CHECKS = 8;

    private static final String LOG_FOLDER = "log";
    private static final String AUDIT_FOLDER = "audit";
    /** Operators send whole deployment files, and few of them. */
    private static final HttpLimits OPERATOR_LIMITS =
            new HttpLimits(8192, 16384, ConfigText.MAX_BYTES, 100, Duration.ofSeconds(10));

    private final ProcessContext context;
    private final ConsensusLog log;
    private final ControlService service;
    private final AuditStore audit;
    private final HttpListener operators;
    private volatile AuditDoor trail;
    private volatile ProbeDoor door;

    ControlRole(ProcessContext context, ProcessSettings.ControlSettings settings) {
        this.context = context;
        this.operators = new HttpListener(settings.listen(), 1, OPERATOR_LIMITS, this::answer);
        ControlState state;
        try {
            this.audit = new AuditStore(settings.dataFolder().resolve(AUDIT_FOLDER));
            state = new ControlState(audit, Clock.systemUTC());
            this.log = ConsensusLog.open(
                    context.ring(), context.timers(), context.transport(), state, consensus(context, settings));
        } catch (IOException e) {
            operators.close();
            // Without its log the member has nothing to say; the process ends, loudly, and changes nothing on the disk.
            throw new UncheckedIOException(e);
        }
        this.service = new ControlService(context.ring(), context.timers(), log, state, settings.lease());
        this.trail = new AuditDoor(context.ring(), () -> state.audit().head(), audit);
        Executor checks = BackgroundThread.create("config-check", WAITING_CHECKS);
        this.door = new ProbeDoor(
                this::ready, context.metrics()::scrape, new ControlEndpoint(context.ring(), checks, service));
        ProcessMetrics.publish(context.metrics(), "operators", operators.counters());
    }

    @Override
    public Set<Class<? extends WireMessage>> messages() {
        Set<Class<? extends WireMessage>> all = new HashSet<>(SERVICE_MESSAGES);
        all.addAll(ConsensusLog.messages());
        return all;
    }

    @Override
    public PeerListener listener() {
        return new MessageSwitch();
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
        operators.close();
        log.close();
        audit.close();
    }

    @Override
    public Optional<InetSocketAddress> httpAddress() {
        return Optional.of(operators.address());
    }

    private void answer(HttpExchange exchange) {
        ProbeDoor open = door;
        if (open == null) {
            exchange.respond(UNAVAILABLE, "text/plain", Map.of(), "starting".getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (exchange.path().equals(AuditDoor.PATH) && exchange.method().equals("GET")) {
            trail.handle(exchange);
            return;
        }
        open.handle(exchange);
    }

    private ConsensusSettings consensus(ProcessContext process, ProcessSettings.ControlSettings settings) {
        String name = process.settings().id();
        InetSocketAddress own = settings.voters().stream()
                .filter(v -> v.name().equals(name))
                .map(VoterAddress::address)
                .findFirst()
                .orElse(process.wireAddress());
        List<VoterAddress> voters =
                settings.voters().isEmpty() ? List.of(new VoterAddress(name, own)) : settings.voters();
        return new ConsensusSettings(
                settings.group(),
                name,
                own,
                operators.address(),
                voters,
                settings.dataFolder().resolve(LOG_FOLDER),
                settings.electionTimeout());
    }

    /** Parts the messages between control members from those of other processes. */
    private final class MessageSwitch implements PeerListener {
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
