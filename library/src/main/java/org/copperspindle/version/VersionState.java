package org.copperspindle.version;

import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.ReplicatedState;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;

/**
 * Replicated state: the newest accepted version, the evacuated failure domains and the software versions in use.
 *
 * <p>The highest version wins. A version that is not above the held one changes nothing, so a resent or delayed
 * change can be acknowledged safely, and of two texts with the same number the first one stands. Evacuation orders
 * and changes of the software carry no number: the last one in the log wins, and one that matches the current state
 * changes nothing.
 */
public final class VersionState implements ReplicatedState {

    /**
     * A command that changes nothing; once it is committed, the state includes everything that was acknowledged
     * before.
     */
    static final byte[] READ = new byte[0];

    private static final Logger LOGGER = LogManager.getLogger(VersionState.class);

    /**
     * Format of commands and snapshots. A snapshot that consists of a version alone was written by a build without
     * evacuations.
     */
    private static final MessageRegistry FORMAT = new MessageRegistry()
            .register(VersionMessage.CODEC)
            .register(EvacuationCommand.CODEC)
            .register(SoftwareCommand.CODEC)
            .register(VersionSnapshotMessage.CODEC);

    private final VersionObserver observer;
    private VersionSnapshotMessage held = VersionSnapshotMessage.EMPTY;

    /**
     * Creates the state.
     *
     * @param observer notified of each version and list that comes into force
     */
    public VersionState(VersionObserver observer) {
        this.observer = observer;
    }

    /**
     * Returns the accepted state.
     *
     * @return the state as a snapshot would hold it
     */
    public VersionSnapshotMessage held() {
        return held;
    }

    @Override
    public ControlResult apply(long index, long term, byte[] command) {
        if (command.length == 0) {
            return new ControlResult.ConfigAccepted(held.version());
        }
        WireMessage message = decode(command);
        if (message instanceof EvacuationCommand order) {
            return evacuate(order, index, term);
        }
        if (message instanceof SoftwareCommand change) {
            return changeSoftware(change, index, term);
        }
        if (message instanceof VersionMessage newVersion && newVersion.version() > held.version()) {
            accept(newVersion, index, term);
        }
        return new ControlResult.ConfigAccepted(held.version());
    }

    @Override
    public byte[] snapshot() {
        return VersionSnapshotMessage.CODEC.encode(held);
    }

    @Override
    public void restore(byte[] snapshot) {
        WireMessage message = decode(snapshot);
        if (message instanceof VersionSnapshotMessage current) {
            held = current;
        } else if (message instanceof VersionMessage legacy) {
            Optional<VersionMessage> newVersion = Optional.of(legacy).filter(e -> e.version() > 0);
            held = newVersion.map(VersionSnapshotMessage.EMPTY::with).orElse(VersionSnapshotMessage.EMPTY);
        }
        held.newestVersion().ifPresent(observer::onVersion);
        if (held.evacuations().revision() > 0) {
            observer.onEvacuations(held.evacuations());
        }
        if (held.software().isKept()) {
            observer.onSoftware(held.software());
        }
    }

    private void accept(VersionMessage newVersion, long index, long term) {
        LOGGER.info(
                "event=version-committed version={} before={} index={} term={} bytes={}",
                newVersion.version(),
                held.version(),
                index,
                term,
                newVersion.text().length);
        held = held.with(newVersion);
        observer.onVersion(newVersion);
    }

    private ControlResult evacuate(EvacuationCommand order, long index, long term) {
        if (held.evacuations().isFullFor(order)) {
            return new ControlResult.ConfigRefused(held.version(), "", "too many failure domains are evacuated");
        }
        EvacuationsMessage next = held.evacuations().after(order, index);
        LOGGER.info(
                "event=evacuation-committed domain={} begins={} changed={} index={} term={} evacuated={}",
                order.failureDomain(),
                order.isEvacuation(),
                next != held.evacuations(),
                index,
                term,
                next.failureDomains());
        if (next != held.evacuations()) {
            held = held.with(next);
            observer.onEvacuations(next);
        }
        return new ControlResult.ConfigAccepted(held.version());
    }

    private ControlResult changeSoftware(SoftwareCommand change, long index, long term) {
        if (held.software().isFullFor(change)) {
            return new ControlResult.ConfigRefused(held.version(), "", "too many software versions are in use");
        }
        SoftwareInUseMessage next = held.software().after(change, index);
        for (String version : held.software().changed(change)) {
            LOGGER.info(
                    "event=software-{} pool={} software={} index={} term={} in_use={}",
                    change.isInUse() ? "recorded" : "retired",
                    change.pool(),
                    version,
                    index,
                    term,
                    next.versions(change.pool()).size());
        }
        if (next != held.software()) {
            held = held.with(next);
            observer.onSoftware(next);
        }
        return new ControlResult.ConfigAccepted(held.version());
    }

    private static WireMessage decode(byte[] bytes) {
        try {
            return FORMAT.decode(bytes)
                    .orElseThrow(() -> new IllegalStateException("unknown record type in the control log"));
        } catch (MalformedFrameException e) {
            // The log verifies its records, so these are the proposed bytes.
            throw new IllegalStateException(e);
        }
    }
}
