package org.copperspindle.consensus;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.zip.CRC32C;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.wire.MalformedFrameException;

/**
 * Assembles a leader's snapshot from chunks, in bounded memory.
 */
final class SnapshotReceiver {

    private static final Logger LOGGER = LogManager.getLogger(SnapshotReceiver.class);

    private final RaftState state;
    private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private long index;
    private long checksum;

    SnapshotReceiver(RaftState state) {
        this.state = state;
    }

    /** Handles a chunk from the leader of this term. */
    void receive(SnapshotChunkMessage chunk) {
        if (chunk.snapshotIndex() <= state.applied()) {
            reply(chunk, 0, true, state.hardStateSequence());
            return;
        }
        if (chunk.total() > state.settings().limits().snapshotBytes()) {
            LOGGER.error(
                    "event=snapshot-too-large member={} bytes={}",
                    state.settings().name(),
                    chunk.total());
            return;
        }
        if (index != chunk.snapshotIndex() || checksum != chunk.checksum()) {
            buffer = new ByteArrayOutputStream();
            index = chunk.snapshotIndex();
            checksum = chunk.checksum();
        }
        if (chunk.offset() == buffer.size() && buffer.size() + chunk.data().length <= chunk.total()) {
            buffer.writeBytes(chunk.data());
        }
        if (buffer.size() < chunk.total()) {
            reply(chunk, buffer.size(), false, state.hardStateSequence());
            return;
        }
        finish(chunk);
    }

    private void finish(SnapshotChunkMessage chunk) {
        byte[] whole = buffer.toByteArray();
        buffer = new ByteArrayOutputStream();
        index = 0;
        Optional<LogSnapshot> snapshot = decode(whole, chunk);
        if (snapshot.isEmpty()) {
            reply(chunk, 0, false, state.hardStateSequence());
            return;
        }
        if (state.log().termAt(chunk.snapshotIndex()) == chunk.snapshotTerm()) {
            // The log already holds the entry: resetting it would drop entries that this member has acknowledged.
            state.commitTo(chunk.snapshotIndex());
            state.applyCommitted();
            reply(chunk, 0, state.applied() >= chunk.snapshotIndex(), state.hardStateSequence());
            return;
        }
        long sequence = state.install(snapshot.get());
        if (state.hard().group() == 0) {
            // After the snapshot, never before it: a folder that names a group must always have its log.
            sequence = state.saveHard(state.hard().withGroup(chunk.envelope().group()));
        }
        LOGGER.info(
                "event=snapshot-installed member={} index={} bytes={}",
                state.settings().name(),
                chunk.snapshotIndex(),
                chunk.total());
        reply(chunk, 0, true, sequence);
    }

    private Optional<LogSnapshot> decode(byte[] whole, SnapshotChunkMessage chunk) {
        CRC32C crc = new CRC32C();
        crc.update(whole);
        if (crc.getValue() != chunk.checksum()) {
            LOGGER.warn(
                    "event=snapshot-checksum-wrong member={}", state.settings().name());
            return Optional.empty();
        }
        try {
            return Optional.of(LogSnapshot.decode(whole)).filter(s -> s.index() == chunk.snapshotIndex());
        } catch (MalformedFrameException e) {
            LOGGER.warn("event=snapshot-malformed member={}", state.settings().name());
            return Optional.empty();
        }
    }

    private void reply(SnapshotChunkMessage chunk, long next, boolean installed, long sequence) {
        SnapshotReplyMessage reply = new SnapshotReplyMessage(
                state.replyEnvelope(chunk.envelope()), chunk.snapshotIndex(), next, installed, chunk.sentAt());
        state.sendAfter(sequence, chunk.envelope().address(), reply);
    }
}
