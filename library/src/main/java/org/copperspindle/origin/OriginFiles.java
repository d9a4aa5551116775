package org.copperspindle.origin;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.disk.FolderSync;
import org.copperspindle.disk.LogFile;

/**
 * The files of a store. A new one is started when the newest is full or as old as the records in it may become, so that
 * a file can be removed as a whole soon after its last record has expired. Bounded: the oldest file is removed first.
 * Used by a single thread.
 */
final class OriginFiles {

    /** Length after which a new file is started, in bytes. */
    static final int MAX_FILE_BYTES = 4 << 20;

    /** Largest length of all files, in bytes. */
    static final int MAX_BYTES = 16 << 20;

    private static final String PREFIX = "origins-";
    private static final String SUFFIX = ".log";
    private static final String NAME_PATTERN = PREFIX + "[0-9]{12}" + SUFFIX;

    private static final Logger LOGGER = LogManager.getLogger(OriginFiles.class);

    private final Path folder;
    private final LogFile.Opener opener;
    private final Deque<StoredFile> files = new ArrayDeque<>();
    private Optional<OpenFile> open = Optional.empty();
    private long lastNumber;

    /**
     * Creates the files; nothing is read or written yet.
     *
     * @param folder folder of the files, created with the first one
     * @param opener opens files
     */
    OriginFiles(Path folder, LogFile.Opener opener) {
        this.folder = folder;
        this.opener = opener;
    }

    /**
     * Reads what earlier processes wrote. Files that can't be read are skipped.
     *
     * @param now           monotonic time in nanoseconds
     * @param lifetimeNanos how long records are valid at least
     * @return the newest records, oldest file first
     */
    List<StoredOrigins> read(long now, long lifetimeNanos) {
        Deque<StoredOrigins> contents = new ArrayDeque<>();
        int records = 0;
        List<Path> paths = paths();
        for (int i = paths.size() - 1; i >= 0; i--) {
            Path path = paths.get(i);
            StoredFile file = new StoredFile(path, size(path), now + lifetimeNanos);
            files.addFirst(file);
            if (records < OriginTable.MAX_RECORDS) {
                StoredOrigins stored = read(path, lifetimeNanos);
                file.until = now + stored.lifetimeNanos();
                contents.addFirst(stored);
                records += stored.records().size();
            }
        }
        if (!paths.isEmpty()) {
            lastNumber = number(paths.get(paths.size() - 1));
            LOGGER.info("event=stream-origins-read folder={} files={} records={}", folder, paths.size(), records);
        }
        return List.copyOf(contents);
    }

    /**
     * Appends records and syncs them.
     *
     * @param records       the records, few enough for one file
     * @param now           monotonic time in nanoseconds
     * @param lifetimeNanos how long they are valid
     * @return the number of records that are stored now
     * @throws IOException if they can't be stored; the next ones will be written to a new file
     */
    int append(List<OriginRecord> records, long now, long lifetimeNanos) throws IOException {
        removeExpired(now);
        List<ByteBuffer> encoded = records.stream()
                .flatMap(each -> OriginFileFormat.encode(each).stream())
                .toList();
        ByteBuffer batch =
                ByteBuffer.allocate(encoded.stream().mapToInt(ByteBuffer::limit).sum());
        encoded.forEach(batch::put);
        try {
            write(batch.flip(), now, lifetimeNanos);
        } catch (IOException e) {
            abandon();
            throw e;
        }
        return encoded.size();
    }

    /** Removes the files all of whose records have expired. */
    void removeExpired(long now) {
        while (!files.isEmpty() && files.peekFirst().until - now <= 0) {
            removeOldest();
        }
    }

    /** Returns when the oldest file can be removed, monotonic time in nanoseconds; empty if there is none. */
    OptionalLong nextExpiry() {
        return files.isEmpty() ? OptionalLong.empty() : OptionalLong.of(files.peekFirst().until);
    }

    long bytes() {
        return files.stream().mapToLong(file -> file.bytes).sum();
    }

    void close() {
        open.ifPresent(each -> {
            try {
                each.file.close();
            } catch (IOException e) {
                LOGGER.warn("event=stream-origins-not-closed folder={} reason=\"{}\"", folder, e.toString());
            }
        });
        open = Optional.empty();
    }

    private void write(ByteBuffer batch, long now, long lifetimeNanos) throws IOException {
        int length = batch.remaining();
        if (open.filter(each -> each.takes(length, now, lifetimeNanos)).isEmpty()) {
            start(now, lifetimeNanos);
        }
        OpenFile newest = open.orElseThrow();
        newest.stored.until = now + lifetimeNanos;
        newest.stored.bytes += length;
        newest.file.append(batch);
        newest.file.force();
        if (!newest.synced) {
            FolderSync.sync(folder);
            newest.synced = true;
        }
    }

    private void start(long now, long lifetimeNanos) throws IOException {
        close();
        while (bytes() > MAX_BYTES - MAX_FILE_BYTES) {
            removeOldest();
        }
        Files.createDirectories(folder);
        lastNumber++;
        Path path = folder.resolve(PREFIX + String.format("%012d", lastNumber) + SUFFIX);
        StoredFile stored = new StoredFile(path, OriginFileFormat.HEADER_BYTES, now + lifetimeNanos);
        OpenFile opened = new OpenFile(stored, opener.open(path), now, lifetimeNanos);
        files.addLast(stored);
        open = Optional.of(opened);
        opened.file.append(OriginFileFormat.header(lifetimeNanos));
    }

    /** Closes a file that could not be written to. What was synced before stays readable. */
    private void abandon() {
        Optional<OpenFile> failed = open;
        close();
        failed.ifPresent(each -> {
            if (each.synced) {
                each.stored.bytes = size(each.stored.path);
            } else {
                files.remove(each.stored);
                remove(each.stored.path);
            }
        });
    }

    private void removeOldest() {
        StoredFile oldest = files.peekFirst();
        if (open.filter(each -> each.stored == oldest).isPresent()) {
            close();
        }
        files.removeFirst();
        // Not synced: a file that is still there after a loss of power is read and removed again.
        remove(oldest.path);
    }

    private static void remove(Path path) {
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            LOGGER.warn("event=stream-origins-not-removed file={} reason=\"{}\"", path, e.toString());
        }
    }

    private StoredOrigins read(Path path, long lifetimeNanos) {
        try (InputStream in = Files.newInputStream(path)) {
            OriginFileFormat.Contents contents = OriginFileFormat.read(ByteBuffer.wrap(in.readNBytes(MAX_FILE_BYTES)));
            if (contents.damagedBytes() > 0) {
                LOGGER.warn(
                        "event=stream-origins-damaged file={} bytes={} records={}",
                        path,
                        contents.damagedBytes(),
                        contents.records().size());
            }
            long lifetime = contents.lifetimeNanos().orElse(lifetimeNanos);
            return new StoredOrigins(contents.records(), Math.max(lifetime, lifetimeNanos));
        } catch (IOException e) {
            LOGGER.warn("event=stream-origins-unreadable file={} reason=\"{}\"", path, e.toString());
            return new StoredOrigins(List.of(), lifetimeNanos);
        }
    }

    private List<Path> paths() {
        if (Files.notExists(folder)) {
            return List.of();
        }
        try (Stream<Path> all = Files.list(folder)) {
            return new ArrayList<>(
                    all.filter(path -> path.getFileName().toString().matches(NAME_PATTERN))
                            .sorted()
                            .toList());
        } catch (IOException | UncheckedIOException e) {
            LOGGER.warn("event=stream-origins-unreadable folder={} reason=\"{}\"", folder, e.toString());
            return List.of();
        }
    }

    private static long size(Path path) {
        try {
            return Files.size(path);
        } catch (IOException e) {
            LOGGER.warn("event=stream-origins-unreadable file={} reason=\"{}\"", path, e.toString());
            return 0;
        }
    }

    private static long number(Path path) {
        String name = path.getFileName().toString();
        return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
    }

    /** A file on the disk. */
    private static final class StoredFile {
        private final Path path;
        private long bytes;
        private long until;

        private StoredFile(Path path, long bytes, long until) {
            this.path = path;
            this.bytes = bytes;
            this.until = until;
        }
    }

    /** The file to which records are appended. */
    private static final class OpenFile {
        private final StoredFile stored;
        private final LogFile file;
        private final long startedAt;
        private final long lifetimeNanos;
        private boolean synced;

        private OpenFile(StoredFile stored, LogFile file, long startedAt, long lifetimeNanos) {
            this.stored = stored;
            this.file = file;
            this.startedAt = startedAt;
            this.lifetimeNanos = lifetimeNanos;
        }

        private boolean takes(int length, long now, long lifetime) {
            return stored.bytes + length <= MAX_FILE_BYTES && lifetime == lifetimeNanos && now - startedAt < lifetime;
        }
    }
}
