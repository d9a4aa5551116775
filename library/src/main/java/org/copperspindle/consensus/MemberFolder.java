package org.copperspindle.consensus;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.disk.LogFile;
import org.copperspindle.wire.MalformedFrameException;

/**
 * The data folder of a member, with the hard state including the identity, snapshots and the log. Opened once by
 * {@link #recover}, then owned by the disk thread.
 */
final class MemberFolder implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(MemberFolder.class);
    private static final String HARD_STATE = "member";
    private static final String LOCK = "lock";
    private static final String SNAPSHOT_PREFIX = "snapshot-";

    private final Path folder;
    private final SegmentStore log;
    private FileChannel lockFile;

    MemberFolder(Path folder, long segmentBytes, LogFile.Opener opener) {
        this.folder = folder;
        this.log = new SegmentStore(folder, segmentBytes, opener);
    }

    /**
     * Reads the folder; an empty one gets a new identity.
     *
     * @param name       name of the member from its settings
     * @param firstStart whether the whole deployment starts for the first time
     * @param identities source of identities
     * @return the recovered state
     * @throws CorruptLogException if something that was synced is damaged or missing
     * @throws IOException         if the disk fails or another process uses the folder
     */
    RecoveredState recover(String name, boolean firstStart, LongSupplier identities) throws IOException {
        Files.createDirectories(folder);
        lock();
        deleteUnfinished();
        Path statePath = folder.resolve(HARD_STATE);
        if (!Files.exists(statePath)) {
            return initialize(name, firstStart, identities);
        }
        HardState state = readState(statePath);
        if (!state.name().equals(name)) {
            throw new IOException("folder " + folder + " belongs to member " + state.name() + ", not to " + name);
        }
        if (state.group() == 0) {
            // A first snapshot left here was never acknowledged, since the group is written after it.
            deleteLog();
            return new RecoveredState(state, Optional.empty(), List.of());
        }
        LogSnapshot snapshot = newestSnapshot();
        List<LogEntry> entries = log.open(snapshot);
        LOGGER.info(
                "event=log-recovered member={} identity={} term={} snapshot={} entries={}",
                name,
                Long.toHexString(state.identity()),
                state.term(),
                snapshot.index(),
                entries.size());
        return new RecoveredState(state, Optional.of(snapshot), entries);
    }

    /** Executes requests and syncs them; none may be acknowledged before this returns. */
    void execute(List<PersistRequest> requests) throws IOException {
        for (PersistRequest request : requests) {
            if (request instanceof PersistRequest.AppendEntries append) {
                log.append(append.entries());
            } else if (request instanceof PersistRequest.SaveHardState save) {
                // Entries first: a vote relies on the log that must be on the disk with it.
                log.force();
                AtomicFile.write(folder.resolve(HARD_STATE), HardState.CODEC.encode(save.state()));
            } else if (request instanceof PersistRequest.SaveSnapshot save) {
                log.force();
                saveSnapshot(save);
            }
        }
        log.force();
    }

    @Override
    public void close() throws IOException {
        log.close();
        if (lockFile != null) {
            lockFile.close();
        }
    }

    private RecoveredState initialize(String name, boolean firstStart, LongSupplier identities) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            Optional<Path> existing =
                    files.filter(p -> !p.getFileName().toString().equals(LOCK)).findFirst();
            if (existing.isPresent()) {
                throw new CorruptLogException(existing.get(), 0, "log without its identity");
            }
        }
        HardState state = HardState.initial(identities.getAsLong(), name, firstStart);
        AtomicFile.write(folder.resolve(HARD_STATE), HardState.CODEC.encode(state));
        LOGGER.info(
                "event=identity-created member={} identity={} first_start={}",
                name,
                Long.toHexString(state.identity()),
                firstStart);
        return new RecoveredState(state, Optional.empty(), List.of());
    }

    private void saveSnapshot(PersistRequest.SaveSnapshot save) throws IOException {
        LogSnapshot snapshot = save.snapshot();
        Path path = folder.resolve(String.format("%s%016x", SNAPSHOT_PREFIX, snapshot.index()));
        AtomicFile.write(path, snapshot.encode());
        if (save.reset()) {
            log.reset(snapshot.index() + 1);
        } else {
            log.dropThrough(snapshot.index());
        }
        for (Path old : snapshots()) {
            if (!old.equals(path)) {
                Files.delete(old);
            }
        }
        LOGGER.info("event=snapshot-saved index={} bytes={}", snapshot.index(), snapshot.data().length);
    }

    private LogSnapshot newestSnapshot() throws IOException {
        List<Path> paths = snapshots();
        if (paths.isEmpty()) {
            throw new CorruptLogException(folder, 0, "no snapshot");
        }
        Path newest = paths.get(paths.size() - 1);
        try {
            return LogSnapshot.decode(AtomicFile.read(newest));
        } catch (MalformedFrameException e) {
            throw new CorruptLogException(newest, 0, "malformed snapshot");
        }
    }

    private List<Path> snapshots() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(p -> p.getFileName().toString().startsWith(SNAPSHOT_PREFIX))
                    .sorted(Comparator.comparing(Path::getFileName))
                    .toList();
        }
    }

    private static HardState readState(Path path) throws IOException {
        try {
            return HardState.CODEC.decode(AtomicFile.read(path));
        } catch (MalformedFrameException e) {
            throw new CorruptLogException(path, 0, "malformed hard state");
        }
    }

    private void lock() throws IOException {
        lockFile = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            // Two processes under one identity would give votes and acknowledgements that the other doesn't know.
            throw new IOException("folder " + folder + " is in use by another process");
        }
    }

    private void deleteUnfinished() throws IOException {
        deleteAll(p -> p.getFileName().toString().endsWith(AtomicFile.TEMP_SUFFIX));
    }

    private void deleteLog() throws IOException {
        deleteAll(p -> Segment.isSegment(p) || p.getFileName().toString().startsWith(SNAPSHOT_PREFIX));
    }

    private void deleteAll(Predicate<Path> condition) throws IOException {
        List<Path> found = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.filter(condition).forEach(found::add);
        }
        for (Path path : found) {
            Files.delete(path);
        }
    }
}
