package org.copperspindle.edition;

import java.util.Optional;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Everything that the group has accepted: a snapshot of its log.
 *
 * @param newestVersion newest version, empty if none was accepted yet
 * @param evacuations   failure domains that are evacuated
 */
public record EditionSnapshotMessage(Optional<EditionMessage> newestVersion, EvacuationsMessage evacuations)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EditionSnapshotMessage> CODEC = MessageCodec.of(
            215, EditionSnapshotMessage.class, EditionSnapshotMessage::write, EditionSnapshotMessage::read);

    /** Nothing was accepted yet. */
    static final EditionSnapshotMessage EMPTY = new EditionSnapshotMessage(Optional.empty(), EvacuationsMessage.NONE);

    /**
     * Returns the number of the newest version.
     *
     * @return 0 if none was accepted yet
     */
    public long version() {
        return newestVersion.map(EditionMessage::version).orElse(0L);
    }

    private void write(FieldWriter out) {
        newestVersion.ifPresent(newest -> out.put(1, EditionMessage.CODEC.encode(newest)));
        out.put(2, EvacuationsMessage.CODEC.encode(evacuations));
    }

    private static EditionSnapshotMessage read(FieldReader in) {
        byte[] text = in.getBytes(1);
        return new EditionSnapshotMessage(
                text.length == 0 ? Optional.empty() : Optional.of(EditionMessage.CODEC.decodePart(text)),
                EvacuationsMessage.CODEC.decodePart(in.getBytes(2)));
    }
}
