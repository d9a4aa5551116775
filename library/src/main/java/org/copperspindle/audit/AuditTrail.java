package org.copperspindle.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The audit chain as part of the replicated state: each member makes the same records from the same log. Holds the
 * chain's head and its newest records; the whole trail is in files. Runs on the decision ring.
 */
public final class AuditTrail {

    private static final Logger LOGGER = LogManager.getLogger(AuditTrail.class);

    /** Records kept for snapshots even when they are on disk here: another member may lack them. */
    private static final int RECENT = 256;

    /** Bounds memory when the disk takes nothing for long. */
    private static final int MOST_WAITING = 16_384;

    private final AuditSink sink;
    private final Deque<AuditRecord> recent = new ArrayDeque<>();
    private AuditHead head = AuditHead.EMPTY;

    /**
     * Creates an empty trail.
     *
     * @param sink keeps the records
     */
    public AuditTrail(AuditSink sink) {
        this.sink = sink;
    }

    /**
     * Adds a record.
     *
     * @param index index of the log record that it follows from
     * @param term  term of that record
     * @param entry the facts
     * @return the record
     */
    public AuditRecord append(long index, long term, AuditEntry entry) {
        AuditRecord record =
                new AuditRecord(head.number() + 1, index, term, head.digest(), AuditEntry.CODEC.encode(entry));
        head = AuditHead.after(record);
        keep(record);
        return record;
    }

    /**
     * Returns the end of the chain.
     *
     * @return the head
     */
    public AuditHead head() {
        return head;
    }

    /**
     * Encodes the head and the newest records.
     *
     * @return bytes that {@link #restore} takes
     */
    public byte[] snapshot() {
        List<byte[]> records = recent.stream().map(AuditRecord.CODEC::encode).toList();
        return Snapshot.CODEC.encode(new Snapshot(head.number(), head.digest(), records));
    }

    /**
     * Takes over the trail of a snapshot.
     *
     * @param snapshot what {@link #snapshot()} made
     * @throws MalformedFrameException if the bytes are something else
     */
    public void restore(byte[] snapshot) throws MalformedFrameException {
        Snapshot decoded = Snapshot.CODEC.decode(snapshot);
        List<AuditRecord> records = new ArrayList<>();
        for (byte[] encoded : decoded.records()) {
            records.add(AuditRecord.CODEC.decode(encoded));
        }
        head = new AuditHead(decoded.number(), decoded.digest());
        recent.clear();
        records.forEach(this::keep);
    }

    /** Empties the trail, as before the first record; what is in files stays there. */
    void clear() {
        head = AuditHead.EMPTY;
        recent.clear();
    }

    private void keep(AuditRecord record) {
        recent.add(record);
        sink.append(record);
        // A crash may take away records that the disk has not synced, and a snapshot may have cut the log that would
        // make them again: the trail would have a hole. Snapshots therefore carry every record not yet synced.
        while (recent.size() > RECENT && recent.peek().number() <= sink.durable()) {
            recent.remove();
        }
        if (recent.size() > MOST_WAITING) {
            AuditRecord lost = recent.remove();
            LOGGER.error("event=audit-record-dropped number={} reason=disk-behind", lost.number());
        }
    }

    /** The trail's part of a snapshot. */
    private record Snapshot(long number, byte[] digest, List<byte[]> records) implements WireMessage {

        private static final MessageCodec<Snapshot> CODEC =
                MessageCodec.of(97, Snapshot.class, Snapshot::write, Snapshot::read);

        private void write(FieldWriter out) {
            out.put(1, number).put(2, digest).put(3, records);
        }

        private static Snapshot read(FieldReader in) {
            return new Snapshot(in.getLong(1, 0), in.getBytes(2), in.getList(3));
        }
    }
}
