package org.copperspindle.consensus;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Sends the newest snapshot to members whose next entry the leader no longer has in memory, one chunk at a time to
 * each.
 */
final class SnapshotSender {

    private final RaftState state;
    private final Map<Long, Transfer> transfers = new HashMap<>();

    SnapshotSender(RaftState state) {
        this.state = state;
    }

    /** Sends the next chunk, unless one is in flight. */
    void send(Member to, long now) {
        LogSnapshot newest = state.log().snapshot().orElseThrow();
        Transfer transfer = transfers.get(to.identity());
        if (transfer == null || transfer.isStale(now)) {
            transfer = new Transfer(newest);
            transfers.put(to.identity(), transfer);
        }
        if (transfer.waiting
                && now - transfer.sentAt < state.settings().timing().resendNanos()) {
            return;
        }
        sendChunk(to, transfer, now);
    }

    /** Handles a reply; returns true if the snapshot is installed. */
    boolean receive(Member from, SnapshotReplyMessage reply, long now) {
        Transfer transfer = transfers.get(from.identity());
        if (transfer == null || transfer.snapshot.index() != reply.snapshotIndex()) {
            return false;
        }
        if (reply.installed()) {
            transfers.remove(from.identity());
            return true;
        }
        if (reply.nextOffset() < transfer.bytes.length && reply.sentAt() >= transfer.sentAt) {
            transfer.offset = (int) Math.max(0, reply.nextOffset());
            sendChunk(from, transfer, now);
        }
        return false;
    }

    /** Called when the last chunk for a member was not sent. */
    void notSent(long identity) {
        Optional.ofNullable(transfers.get(identity)).ifPresent(transfer -> transfer.waiting = false);
    }

    void clear() {
        transfers.clear();
    }

    private void sendChunk(Member to, Transfer transfer, long now) {
        int end = Math.min(
                transfer.bytes.length,
                transfer.offset + state.settings().limits().chunkBytes());
        transfer.sentAt = now;
        transfer.waiting = true;
        state.send(
                to,
                new SnapshotChunkMessage(
                        state.envelope(to.identity()),
                        transfer.snapshot.index(),
                        transfer.snapshot.term(),
                        transfer.offset,
                        transfer.bytes.length,
                        transfer.checksum,
                        now,
                        Arrays.copyOfRange(transfer.bytes, transfer.offset, end)));
    }

    /** The transfer of one snapshot to one member. */
    private final class Transfer {
        private final LogSnapshot snapshot;
        private final byte[] bytes;
        private final long checksum;
        private int offset;
        private long sentAt;
        private boolean waiting;

        private Transfer(LogSnapshot snapshot) {
            this.snapshot = snapshot;
            this.bytes = snapshot.encode();
            CRC32C crc = new CRC32C();
            crc.update(bytes);
            this.checksum = crc.getValue();
        }

        private boolean isStale(long now) {
            return waiting && now - sentAt > 4 * state.settings().timing().electionNanos();
        }
    }
}
