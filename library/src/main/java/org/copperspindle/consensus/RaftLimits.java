package org.copperspindle.consensus;

/**
 * Limits on memory and message sizes.
 *
 * @param commandBytes  largest command
 * @param batchBytes    bytes of entries in one message, unless a single entry is larger
 * @param pendingBytes  bytes of proposals in progress at the leader
 * @param inFlight      append messages without a reply, per member
 * @param chunkBytes    largest chunk of a snapshot
 * @param snapshotBytes largest snapshot that is accepted from a leader
 * @param logBytes      bytes of applied entries after which a snapshot is taken
 * @param keptEntries   entries kept in memory before a snapshot, for members that lag a little
 * @param segmentBytes  size after which a new segment file is started
 */
record RaftLimits(
        int commandBytes,
        int batchBytes,
        int pendingBytes,
        int inFlight,
        int chunkBytes,
        int snapshotBytes,
        long logBytes,
        int keptEntries,
        long segmentBytes) {

    /** Limits of the daemon: frames below 8 MiB and memory below 128 MiB. */
    static final RaftLimits DEFAULT =
            new RaftLimits(4 << 20, 512 << 10, 8 << 20, 4, 256 << 10, 64 << 20, 8 << 20, 1024, 4 << 20);

    /**
     * Limits for logs in which each entry replaces the state. A text of 200 KB, sent a few hundred times a day, must
     * not fill the memory of a VM with 330 MB: a snapshot is taken every 2 MB, and 16 entries before it are kept.
     */
    static final RaftLimits FULL_STATE_ENTRIES =
            new RaftLimits(4 << 20, 512 << 10, 8 << 20, 4, 256 << 10, 8 << 20, 2 << 20, 16, 2 << 20);
}
