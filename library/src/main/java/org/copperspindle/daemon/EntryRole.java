package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.entry.EntryEndpoint;
import org.copperspindle.entry.EntryService;
import org.copperspindle.entry.EntrySettings;
import org.copperspindle.http.HttpListener;
import org.copperspindle.measure.EntryMetrics;
import org.copperspindle.measure.MicrometerEntryMetrics;
import org.copperspindle.memory.HeldMemories;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * The entry role: the HTTP endpoint for callers. It opens connections to other processes and accepts none from them.
 */
final class EntryRole implements ProcessRole {

    private static final int NETWORK_THREADS = 2;

    /** Longest wait at shutdown for callers that don't read their responses. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(5);

    private final ProcessContext context;
    private final EntrySettings settings;
    private final EntryService service;
    private final HttpListener callerListener;

    EntryRole(ProcessContext context, EntrySettings settings) {
        this.context = context;
        this.settings = settings;
        EntryMetrics measures = new MicrometerEntryMetrics(context.metrics());
        this.service = new EntryService(
                context.ring(),
                context.timers(),
                context.transport(),
                settings,
                context.settings().controls(),
                measures);
        ProbeEndpoint endpoint =
                new ProbeEndpoint(service::ready, context.metrics()::scrape, new EntryEndpoint(service, measures));
        this.callerListener = new HttpListener(
                "http-" + context.settings().id(),
                settings.listen(),
                NETWORK_THREADS,
                settings.limits(),
                endpoint,
                HeldMemories.ofCallers());
        ProcessMetrics.publish(context.metrics(), "callers", callerListener.counters());
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
        callerListener.announceStop();
        context.timers().schedule(settings.stopDelay().toNanos(), callerListener::stopAccepting);
        // The last responses are written on network threads, which must not be closed before that is done.
        Runnable responsesWritten =
                () -> context.ring().offerWithRetry(done, context.transport().scheduler());
        service.stop(() -> callerListener.drain(DRAIN_TIMEOUT, responsesWritten));
    }

    @Override
    public void close() {
        callerListener.close();
    }

    @Override
    public Optional<InetSocketAddress> httpAddress() {
        return Optional.of(callerListener.address());
    }
}
