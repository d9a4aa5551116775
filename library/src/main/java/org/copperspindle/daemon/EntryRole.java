package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.entry.EntryDoor;
import org.copperspindle.entry.EntryService;
import org.copperspindle.entry.EntrySettings;
import org.copperspindle.http.HttpListener;
import org.copperspindle.measure.EntryMeasures;
import org.copperspindle.measure.MicrometerEntryMeasures;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * The entry role: the callers' door. It opens connections to others and takes none from them.
 */
final class EntryRole implements ProcessRole {

    private static final int NETWORK_THREADS = 2;

    /** Longest wait for callers that do not read their answers. */
    private static final Duration DRAIN_BOUND = Duration.ofSeconds(5);

    private final ProcessContext context;
    private final EntrySettings settings;
    private final EntryService service;
    private final HttpListener callers;

    EntryRole(ProcessContext context, EntrySettings settings) {
        this.context = context;
        this.settings = settings;
        EntryMeasures measures = new MicrometerEntryMeasures(context.metrics());
        this.service = new EntryService(
                context.ring(),
                context.timers(),
                context.transport(),
                settings,
                context.settings().controls(),
                measures);
        ProbeDoor door = new ProbeDoor(service::ready, context.metrics()::scrape, new EntryDoor(service, measures));
        this.callers = new HttpListener(
                "http-" + context.settings().id(), settings.listen(), NETWORK_THREADS, settings.limits(), door);
        ProcessMetrics.publish(context.metrics(), "callers", callers.counters());
        ProcessMetrics.publish(context.metrics(), service);
    }

    @Override
    public Set<Class<? extends WireMessage>> messages() {
        return Set.of();
    }

    @Override
    public PeerListener listener() {
        return new PeerListener() {
            @Override
            public boolean onOpen(Peer peer) {
                return true;
            }

            @Override
            public boolean onMessage(Peer peer, WireMessage message) {
                return true;
            }

            @Override
            public boolean onClose(Peer peer) {
                return true;
            }
        };
    }

    @Override
    public void start() {
        context.ring().execute(service::start);
    }

    @Override
    public boolean ready() {
        return service.ready();
    }

    @Override
    public void stop(Runnable done) {
        callers.announceStop();
        context.timers().schedule(settings.stopDelay().toNanos(), callers::stopAccepting);
        // The last answers are written on network threads: closing these before would cut the answers off.
        Runnable written =
                () -> context.ring().offerUntilTaken(done, context.transport().scheduler());
        service.stop(() -> callers.drain(DRAIN_BOUND, written));
    }

    @Override
    public void close() {
        callers.close();
    }

    @Override
    public Optional<InetSocketAddress> httpAddress() {
        return Optional.of(callers.address());
    }
}
