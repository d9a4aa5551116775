package org.copperspindle.version;

import java.util.Optional;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The accepted state of the group; also the snapshot format of its log.
 *
 * @param newestVersion newest version, empty if none was accepted yet
 * @param evacuations   failure domains that are evacuated
 * @param software      software versions in use; not kept in snapshots of builds without them
 */
public record VersionSnapshotMessage(
        Optional<VersionMessage> newestVersion, EvacuationsMessage evacuations, SoftwareInUseMessage software)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<VersionSnapshotMessage> CODEC = MessageCodec.of(
            215, VersionSnapshotMessage.class, VersionSnapshotMessage::write, VersionSnapshotMessage::read);

    /** State before anything was accepted. */
    static final VersionSnapshotMessage EMPTY =
            new VersionSnapshotMessage(Optional.empty(), EvacuationsMessage.NONE, SoftwareInUseMessage.NONE);

    /**
     * Returns the number of the newest version.
     *
     * @return 0 if none was accepted yet
     */
    public long version() {
        return newestVersion.map(VersionMessage::version).orElse(0L);
    }

    private void write(FieldWriter out) {
        newestVersion.ifPresent(newest -> out.put(1, VersionMessage.CODEC.encode(newest)));
        out.put(2, EvacuationsMessage.CODEC.encode(evacuations));
        if (software.isKept()) {
            out.put(3, SoftwareInUseMessage.CODEC.encode(software));
        }
    }

    VersionSnapshotMessage with(VersionMessage newVersion) {
        return new VersionSnapshotMessage(Optional.of(newVersion), evacuations, software);
    }

    VersionSnapshotMessage with(EvacuationsMessage next) {
        return new VersionSnapshotMessage(newestVersion, next, software);
    }

    VersionSnapshotMessage with(SoftwareInUseMessage next) {
        return new VersionSnapshotMessage(newestVersion, evacuations, next);
    }

    private static VersionSnapshotMessage read(FieldReader in) {
        byte[] text = in.getBytes(1);
        byte[] software = in.getBytes(3);
        return new VersionSnapshotMessage(
                text.length == 0 ? Optional.empty() : Optional.of(VersionMessage.CODEC.decodeNested(text)),
                EvacuationsMessage.CODEC.decodeNested(in.getBytes(2)),
                software.length == 0 ? SoftwareInUseMessage.NONE : SoftwareInUseMessage.CODEC.decodeNested(software));
    }
}
