package org.copperspindle.consensus;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;

/**
 * Sends entries from the leader; without entries it is a heartbeat.
 *
 * @param envelope  addressing
 * @param prevIndex index of the entry before the first one
 * @param prevTerm  term of that entry
 * @param commit    index up to which the leader has committed
 * @param sentAt    the leader's monotonic clock in nanoseconds, returned in the reply
 * @param entries   consecutive entries
 */
record AppendRequestMessage(
        Envelope envelope, long prevIndex, long prevTerm, long commit, long sentAt, List<LogEntry> entries)
        implements RaftMessage {

    static final MessageCodec<AppendRequestMessage> CODEC =
            MessageCodec.of(66, AppendRequestMessage.class, AppendRequestMessage::write, AppendRequestMessage::read);

    AppendRequestMessage {
        entries = List.copyOf(entries);
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).index() != prevIndex + 1 + i) {
                throw new IllegalArgumentException("entries are not consecutive");
            }
        }
    }

    @Override
    public boolean isBulk() {
        return !entries.isEmpty();
    }

    private void write(FieldWriter out) {
        envelope.write(out)
                .put(10, prevIndex)
                .put(11, prevTerm)
                .put(12, commit)
                .put(13, sentAt)
                .put(14, entries.stream().map(LogEntry::encode).toList());
    }

    private static AppendRequestMessage read(FieldReader in) {
        return new AppendRequestMessage(
                Envelope.read(in),
                in.getLong(10, 0),
                in.getLong(11, 0),
                in.getLong(12, 0),
                in.getLong(13, 0),
                in.getList(14).stream().map(LogEntry::decode).toList());
    }
}
