package org.copperspindle.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.copperspindle.consensus.ConsensusSettings;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.version.MemberStatus;
import org.copperspindle.version.MemberSupervisor.MemberOpener;
import org.copperspindle.version.VersionMember;
import org.copperspindle.version.VersionObserver;
import org.copperspindle.version.VersionState;
import org.copperspindle.wire.WireTransport;

/**
 * Opens a node's member of the control group with connections of its own.
 */
final class NodeMemberOpener implements MemberOpener, AutoCloseable {

    private final DecisionRing ring;
    private final TimerService timers;
    private final Supplier<WireTransport> transports;
    private final ConsensusSettings settings;
    private final InetSocketAddress bind;
    private final VersionObserver observer;
    private final Consumer<MemberStatus> statusListener;
    private volatile Optional<WireTransport> transport = Optional.empty();

    NodeMemberOpener(
            DecisionRing ring,
            TimerService timers,
            Supplier<WireTransport> transports,
            ConsensusSettings settings,
            InetSocketAddress bind,
            VersionObserver observer,
            Consumer<MemberStatus> statusListener) {
        this.ring = ring;
        this.timers = timers;
        this.transports = transports;
        this.settings = settings;
        this.bind = bind;
        this.observer = observer;
        this.statusListener = statusListener;
    }

    @Override
    public VersionMember open() throws IOException {
        // The stopped member's listening socket occupies the address that the next one needs.
        transport.ifPresent(WireTransport::close);
        WireTransport own = transports.get();
        transport = Optional.of(own);
        return VersionMember.open(ring, timers, own, settings, bind, new VersionState(observer), statusListener);
    }

    @Override
    public void deleteRecords() throws IOException {
        List<Path> files = new ArrayList<>();
        try (Stream<Path> listing = Files.list(settings.dataFolder())) {
            listing.forEach(files::add);
        }
        for (Path path : files) {
            Files.delete(path);
        }
    }

    /** Closes the connections: a node that starts at the same address needs the port. */
    @Override
    public void close() {
        transport.ifPresent(WireTransport::close);
    }
}
