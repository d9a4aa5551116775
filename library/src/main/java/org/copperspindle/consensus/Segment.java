package org.copperspindle.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One file of consecutive records, named after its first index.
 */
final class Segment {

    private static final Logger LOGGER = LogManager.getLogger(Segment.class);
    private static final String PREFIX = "log-";

    /** Largest index distance at which a valid record after a damaged one is still taken for a record of this log. */
    private static final long MAX_PLAUSIBLE_GAP = 1 << 20;

    private final Path path;
    private final long first;
    private final List<Long> offsets = new ArrayList<>();
    private long size;

    Segment(Path folder, long first) {
        this(folder.resolve(String.format("%s%016x", PREFIX, first)), first, 0);
    }

    private Segment(Path path, long first, long size) {
        this.path = path;
        this.first = first;
        this.size = size;
    }

    static boolean isSegment(Path path) {
        return path.getFileName().toString().startsWith(PREFIX);
    }

    static long firstIndex(Path path) {
        return Long.parseLong(path.getFileName().toString().substring(PREFIX.length()), 16);
    }

    Path path() {
        return path;
    }

    long first() {
        return first;
    }

    long last() {
        return first + offsets.size() - 1;
    }

    long size() {
        return size;
    }

    long offset(long index) {
        return offsets.get((int) (index - first));
    }

    void recordAppended(int bytes) {
        offsets.add(size);
        size += bytes;
    }

    void removeFrom(long index) {
        size = offset(index);
        offsets.subList((int) (index - first), offsets.size()).clear();
    }

    /**
     * Reads a segment.
     *
     * @param path   its file
     * @param newest true if it is the last segment, whose tail may be torn
     * @param into   receives the entries
     * @return the segment, truncated before a torn tail
     * @throws CorruptLogException if synced records are damaged
     */
    static Segment read(Path path, boolean newest, List<LogEntry> into) throws IOException {
        Segment segment = new Segment(path, firstIndex(path), 0);
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(path));
        while (segment.size < in.limit()) {
            Optional<RecordFormat.Parsed> found = RecordFormat.parse(in, (int) segment.size);
            if (found.isEmpty() || found.get().entry().index() != segment.last() + 1) {
                segment.checkTorn(in, newest);
                break;
            }
            into.add(found.get().entry());
            segment.recordAppended(found.get().size());
        }
        return segment;
    }

    /**
     * Checks that the remaining bytes belong to a batch whose sync never completed. A crash can leave any part of such
     * a batch, in any order, and nothing of it was acknowledged. A complete record of a later batch after the damage
     * shows that the damaged one had been synced and perhaps acknowledged: truncating would lose it silently.
     */
    private void checkTorn(ByteBuffer in, boolean newest) throws CorruptLogException {
        long expected = last() + 1;
        if (!newest) {
            throw new CorruptLogException(path, size, "damaged record " + expected);
        }
        for (int offset = (int) size; offset < in.limit(); offset++) {
            Optional<RecordFormat.Parsed> later = RecordFormat.parse(in, offset);
            if (later.isPresent() && isLaterBatch(later.get(), expected)) {
                throw new CorruptLogException(path, size, "damaged record " + expected);
            }
        }
        LOGGER.warn("event=torn-tail-cut file={} offset={} bytes={}", path.getFileName(), size, in.limit() - size);
    }

    private static boolean isLaterBatch(RecordFormat.Parsed later, long expected) {
        return later.batchStart() > expected && later.entry().index() < expected + MAX_PLAUSIBLE_GAP;
    }
}
