package org.copperspindle.consensus;

/**
 * Bounds on memory and frames.
 *
 * @param commandBytes  largest command
 * @param batchBytes    entries in one message, unless a single one is larger
 * @param pendingBytes  proposals under way at the leader
 * @param inFlight      unanswered append messages per member
 * @param chunkBytes    largest piece of a snapshot
 * @param snapshotBytes largest snapshot that is accepted from a leader
 * @param logBytes      applied entries after which a snapshot is taken
 * @param keptEntries   entries kept in memory behind a snapshot, for members that lag a little
 * @param segmentBytes  size after which a new segment file is begun
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

    /** Limits of the daemon: below 8 MiB frames and within 128 MiB of memory. */
    static final RaftLimits DEFAULT =
            new RaftLimits(4 << 20, 512 << 10, 8 << 20, 4, 256 << 10, 64 << 20, 8 << 20, 1024, 4 << 20);

    /**
     * Limits where each entry replaces the state. A text of 200 KB, sent a few hundred times a day, must not fill the
     * memory of a VM with 330 MB: a snapshot every 2 MB, 16 entries kept behind it.
     */
    static final RaftLimits WHOLE_TEXTS =
            new RaftLimits(4 << 20, 512 << 10, 8 << 20, 4, 256 << 10, 8 << 20, 2 << 20, 16, 2 << 20);
}
