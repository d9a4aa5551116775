package org.copperspindle.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.copperspindle.disk.FolderSync;
import org.copperspindle.disk.LogFile;

/**
 * The log on the disk, as a sequence of segments. Not thread-safe; owned by the disk thread once opened.
 */
final class SegmentStore implements AutoCloseable {

    private final Path folder;
    private final long segmentBytes;
    private final LogFile.Opener opener;
    private final List<Segment> segments = new ArrayList<>();
    private LogFile file;
    private boolean dirty;
    private long batchStart;

    SegmentStore(Path folder, long segmentBytes, LogFile.Opener opener) {
        this.folder = folder;
        this.segmentBytes = segmentBytes;
        this.opener = opener;
    }

    /**
     * Opens the log after a snapshot.
     *
     * @return the entries after the snapshot
     */
    List<LogEntry> open(LogSnapshot snapshot) throws IOException {
        long next = snapshot.index() + 1;
        List<Path> paths = paths();
        if (paths.isEmpty()) {
            // A log always has its newest segment, even if empty: without it, acknowledged entries are lost.
            throw new CorruptLogException(folder, 0, "no segment after snapshot " + snapshot.index());
        }
        List<Path> needed = needed(paths, next);
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < needed.size(); i++) {
            Segment segment = Segment.read(needed.get(i), i == needed.size() - 1, entries);
            boolean follows = i == 0 ? segment.first() <= next : segment.first() == newest().last() + 1;
            if (!follows) {
                throw new CorruptLogException(segment.path(), 0, "gap before record " + segment.first());
            }
            segments.add(segment);
        }
        if (isUnfinishedReset(snapshot, entries)) {
            reset(next);
            return List.of();
        }
        deleteAll(paths.subList(0, paths.indexOf(needed.get(0))));
        Segment newest = newest();
        file = opener.open(newest.path());
        file.truncate(newest.size());
        return entries.stream().filter(e -> e.index() >= next).toList();
    }

    void append(List<LogEntry> entries) throws IOException {
        truncateFrom(entries.get(0).index());
        for (LogEntry entry : entries) {
            if (newest().size() >= segmentBytes) {
                startNextSegment(entry.index());
            }
            if (!dirty) {
                batchStart = entry.index();
                dirty = true;
            }
            ByteBuffer record = RecordFormat.encode(entry, (int) (entry.index() - batchStart));
            int size = record.remaining();
            file.append(record);
            newest().recordAppended(size);
        }
    }

    /** Syncs what was appended. */
    void force() throws IOException {
        if (dirty) {
            file.force();
            dirty = false;
        }
    }

    /** Deletes the whole log and continues at an index. */
    void reset(long next) throws IOException {
        closeFile();
        // Newest first, and the segment with the index last, so that the next start recognises whatever a crash leaves.
        List<Path> old = paths();
        for (int i = old.size() - 1; i >= 0; i--) {
            if (Segment.firstIndex(old.get(i)) >= next) {
                Files.delete(old.get(i));
            }
        }
        segments.clear();
        startSegment(next);
        deleteAll(old.stream().filter(p -> Segment.firstIndex(p) < next).toList());
    }

    /** Deletes segments that a snapshot covers completely. */
    void dropThrough(long index) throws IOException {
        while (segments.size() > 1 && segments.get(0).last() <= index) {
            Files.delete(segments.remove(0).path());
        }
        FolderSync.sync(folder);
    }

    @Override
    public void close() throws IOException {
        closeFile();
    }

    private void truncateFrom(long index) throws IOException {
        if (index > newest().last()) {
            return;
        }
        force();
        while (newest().first() > index) {
            closeFile();
            Files.delete(newest().path());
            segments.remove(segments.size() - 1);
            FolderSync.sync(folder);
            file = opener.open(newest().path());
        }
        if (index <= newest().last()) {
            newest().removeFrom(index);
            // Synced before new records follow: a crash must not leave old records after them.
            file.truncate(newest().size());
        }
    }

    private void startNextSegment(long next) throws IOException {
        force();
        closeFile();
        startSegment(next);
    }

    private void startSegment(long next) throws IOException {
        Segment segment = new Segment(folder, next);
        file = opener.open(segment.path());
        file.force();
        FolderSync.sync(folder);
        segments.add(segment);
        dirty = false;
    }

    private boolean isUnfinishedReset(LogSnapshot snapshot, List<LogEntry> entries) {
        if (newest().first() == snapshot.index() + 1) {
            return false;
        }
        return newest().last() < snapshot.index()
                || entries.stream().anyMatch(e -> e.index() == snapshot.index() && e.term() != snapshot.term());
    }

    private List<Path> needed(List<Path> paths, long next) {
        int start = 0;
        for (int i = 0; i < paths.size(); i++) {
            if (Segment.firstIndex(paths.get(i)) <= next) {
                start = i;
            }
        }
        return paths.subList(start, paths.size());
    }

    private List<Path> paths() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Segment::isSegment)
                    .sorted(Comparator.comparingLong(Segment::firstIndex))
                    .toList();
        }
    }

    private void deleteAll(List<Path> paths) throws IOException {
        for (Path path : paths) {
            Files.delete(path);
        }
        FolderSync.sync(folder);
    }

    private Segment newest() {
        return segments.get(segments.size() - 1);
    }

    private void closeFile() throws IOException {
        if (file != null) {
            file.close();
            file = null;
        }
    }
}
