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
 * The audit chain as part of the replicated state: every member derives the same records from the same log. Holds the
 * head of the chain and its newest records; the complete trail is stored in files. Runs on the decision ring.
 */
public final class AuditTrail {

    private static final Logger LOGGER = LogManager.getLogger(AuditTrail.class);

    /**
     * Number of newest records retained for snapshots even after they are durable here, because another member may miss
     * them.
     */
    private static final int MIN_RETAINED = 256;

    /** Bounds memory while the disk is stalled. */
    private static final int MAX_RETAINED = 16_384;

    private final AuditSink sink;
    private final Deque<AuditRecord> recent = new ArrayDeque<>();
    private AuditHead head = AuditHead.EMPTY;

    /**
     * Creates an empty trail.
     *
     * @param sink sink that stores the records
     */
    public AuditTrail(AuditSink sink) {
        this.sink = sink;
    }

    /**
     * Appends a record.
     *
     * @param index index of the log record that it derives from
     * @param term  term of that record
     * @param entry contents of the record
     * @return the record
     */
    public AuditRecord append(long index, long term, AuditEntry entry) {
        AuditRecord record =
                new AuditRecord(head.number() + 1, index, term, head.digest(), AuditEntry.CODEC.encode(entry));
        head = AuditHead.after(record);
        retain(record);
        return record;
    }

    /**
     * Returns the head of the chain.
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
     * Replaces the trail by that of a snapshot.
     *
     * @param snapshot bytes from {@link #snapshot()}
     * @throws MalformedFrameException if the bytes can't be decoded
     */
    public void restore(byte[] snapshot) throws MalformedFrameException {
        Snapshot decoded = Snapshot.CODEC.decode(snapshot);
        List<AuditRecord> records = new ArrayList<>();
        for (byte[] encoded : decoded.records()) {
            records.add(AuditRecord.CODEC.decode(encoded));
        }
        head = new AuditHead(decoded.number(), decoded.digest());
        recent.clear();
        records.forEach(this::retain);
    }

    /** Resets the trail to the state before the first record; the files remain. */
    void clear() {
        head = AuditHead.EMPTY;
        recent.clear();
    }

    private void retain(AuditRecord record) {
        recent.add(record);
        sink.append(record);
        // A crash may lose records that are not synced to disk, and a snapshot may already have truncated the log from
        // which they could be recreated, which would leave a gap in the trail. Snapshots therefore contain every record
        // that is not yet synced.
        while (recent.size() > MIN_RETAINED && recent.peek().number() <= sink.durable()) {
            recent.remove();
        }
        if (recent.size() > MAX_RETAINED) {
            AuditRecord dropped = recent.remove();
            LOGGER.error("event=audit-record-dropped number={} reason=disk-behind", dropped.number());
        }
    }

    /** Snapshot of the trail. */
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
