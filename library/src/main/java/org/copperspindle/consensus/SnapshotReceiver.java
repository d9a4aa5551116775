package org.copperspindle.consensus;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.zip.CRC32C;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.wire.MalformedFrameException;

/**
 * Puts a leader's snapshot together, piece by piece, in bounded memory.
 */
final class SnapshotReceiver {

    private static final Logger LOGGER = LogManager.getLogger(SnapshotReceiver.class);

    private final RaftState state;
    private ByteArrayOutputStream pieces = new ByteArrayOutputStream();
    private long index;
    private long checksum;

    SnapshotReceiver(RaftState state) {
        this.state = state;
    }

    /** Takes a piece from the leader of this term. */
    void receive(SnapshotChunkMessage chunk) {
        if (chunk.snapshotIndex() <= state.applied()) {
            reply(chunk, 0, true, state.hardSequence());
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
            pieces = new ByteArrayOutputStream();
            index = chunk.snapshotIndex();
            checksum = chunk.checksum();
        }
        if (chunk.offset() == pieces.size() && pieces.size() + chunk.piece().length <= chunk.total()) {
            pieces.writeBytes(chunk.piece());
        }
        if (pieces.size() < chunk.total()) {
            reply(chunk, pieces.size(), false, state.hardSequence());
            return;
        }
        finish(chunk);
    }

    private void finish(SnapshotChunkMessage chunk) {
        byte[] whole = pieces.toByteArray();
        pieces = new ByteArrayOutputStream();
        index = 0;
        Optional<LogSnapshot> snapshot = decode(whole, chunk);
        if (snapshot.isEmpty()) {
            reply(chunk, 0, false, state.hardSequence());
            return;
        }
        if (state.log().termAt(chunk.snapshotIndex()) == chunk.snapshotTerm()) {
            // The log already leads there: dropping it would drop entries that this member has vouched for.
            state.commitTo(chunk.snapshotIndex());
            state.applyCommitted();
            reply(chunk, 0, state.applied() >= chunk.snapshotIndex(), state.hardSequence());
            return;
        }
        long sequence = state.install(snapshot.get());
        if (state.hard().group() == 0) {
            // After the snapshot, never before: a folder that names a group always holds its log.
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
                state.answer(chunk.envelope()), chunk.snapshotIndex(), next, installed, chunk.sentAt());
        state.sendAfter(sequence, chunk.envelope().address(), reply);
    }
}
