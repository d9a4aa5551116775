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
 * The newest accepted version, and the failure domains that are evacuated.
 *
 * <p>The highest version wins: a version that is not above the one held changes nothing, so that a resent or overtaken change
 * can be acknowledged without harm, and of two texts under one number the first stands. Orders to evacuate carry no number:
 * the last one in the log wins, and one that asks for what is so already changes nothing.
 */
public final class VersionState implements ReplicatedState {

    /** A command that changes nothing; once it is committed, the state holds everything that was acknowledged before. */
    static final byte[] READ = new byte[0];

    private static final Logger LOGGER = LogManager.getLogger(VersionState.class);

    /** What commands and snapshots are made of. A snapshot that holds a version alone was made before there were evacuations. */
    private static final MessageRegistry FORMAT = new MessageRegistry()
            .register(VersionMessage.CODEC)
            .register(EvacuationCommand.CODEC)
            .register(VersionSnapshotMessage.CODEC);

    private final VersionObserver observer;
    private VersionSnapshotMessage held = VersionSnapshotMessage.EMPTY;

    /**
     * Creates the state.
     *
     * @param observer told of each version and list of evacuations that comes into force
     */
    public VersionState(VersionObserver observer) {
        this.observer = observer;
    }

    /**
     * Returns all that was accepted.
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
        if (message instanceof VersionMessage edition && edition.version() > held.version()) {
            accept(edition, index, term);
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
        if (message instanceof VersionSnapshotMessage whole) {
            held = whole;
        } else if (message instanceof VersionMessage alone) {
            Optional<VersionMessage> edition = Optional.of(alone).filter(e -> e.version() > 0);
            held = new VersionSnapshotMessage(edition, EvacuationsMessage.NONE);
        }
        held.newestVersion().ifPresent(observer::onVersion);
        if (held.evacuations().revision() > 0) {
            observer.onEvacuations(held.evacuations());
        }
    }

    private void accept(VersionMessage edition, long index, long term) {
        LOGGER.info(
                "event=version-committed version={} before={} index={} term={} bytes={}",
                edition.version(),
                held.version(),
                index,
                term,
                edition.text().length);
        held = new VersionSnapshotMessage(Optional.of(edition), held.evacuations());
        observer.onVersion(edition);
    }

    private ControlResult evacuate(EvacuationCommand order, long index, long term) {
        if (held.evacuations().isFullFor(order)) {
            return new ControlResult.ConfigRefused(held.version(), "", "too many failure domains are evacuated");
        }
        EvacuationsMessage next = held.evacuations().after(order, index);
        LOGGER.info(
                "event=evacuation-committed domain={} begins={} changed={} index={} term={} evacuated={}",
                order.failureDomain(),
                order.begins(),
                next != held.evacuations(),
                index,
                term,
                next.failureDomains());
        if (next != held.evacuations()) {
            held = new VersionSnapshotMessage(held.newestVersion(), next);
            observer.onEvacuations(next);
        }
        return new ControlResult.ConfigAccepted(held.version());
    }

    private static WireMessage decode(byte[] bytes) {
        try {
            return FORMAT.decode(bytes).orElseThrow(() -> new IllegalStateException("record of an unknown kind"));
        } catch (MalformedFrameException e) {
            // The log checks its records: these are the bytes that were proposed.
            throw new IllegalStateException(e);
        }
    }
}
