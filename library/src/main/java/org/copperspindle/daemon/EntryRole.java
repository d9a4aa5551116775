package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.entry.EntryDoor;
import org.copperspindle.entry.EntryService;
import org.copperspindle.entry.EntrySettings;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * The entry role: the callers' door. It opens connections to others and takes none from them.
 */
final class EntryRole implements ProcessRole {

    private static final int NETWORK_THREADS = 2;

    private final ProcessContext context;
    private final EntryService service;
    private final HttpListener callers;

    EntryRole(ProcessContext context, EntrySettings settings) {
        this.context = context;
        this.service = new EntryService(
                context.ring(),
                context.timers(),
                context.transport(),
                settings,
                context.settings().controls());
        this.callers = new HttpListener(settings.listen(), NETWORK_THREADS, HttpLimits.DEFAULT, new EntryDoor(service));
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
        service.stop(done);
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
