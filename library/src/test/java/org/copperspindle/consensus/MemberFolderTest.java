package org.copperspindle.consensus;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.copperspindle.disk.LogFile;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * The data folder with real files, after crashes and damage.
 */
class MemberFolderTest {

    private static final Membership GROUP = new Membership(List.of(new Member(7, "m", "a", "o", true)));
    private static final int SEGMENT_BYTES = 500;

    @TempDir
    private Path path;

    private MemberFolder folder;

    @AfterEach
    void close() throws IOException {
        if (folder != null) {
            folder.close();
        }
    }

    @Test
    void everythingSyncedIsRecovered() throws IOException {
        initialize();
        for (long i = 2; i <= 50; i++) {
            append(1, i, i);
        }
        vote(5, 9);
        RecoveredState found = reopen();
        assertThat(found.hardState()).isEqualTo(new HardState(7, "m", 7, 5, 9));
        assertThat(indexes(found)).isEqualTo(range(2, 50));
        assertThat(segments()).hasSizeGreaterThan(3);
    }

    /**
     * Power fails while a batch of three records is written: the end of the batch is missing, or its first record was
     * not written while later ones were. The batch was not acknowledged, so the member must start without it and keep
     * everything before.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 9, 35, 36, 37, 60, 80, 107})
    void tornTailIsTruncated(int kept) throws IOException {
        initialize();
        append(1, 2, 3);
        long synced = Files.size(newestSegment());
        append(1, 4, 6);
        try (RandomAccessFile file = new RandomAccessFile(newestSegment().toFile(), "rw")) {
            file.setLength(synced + kept);
        }
        RecoveredState found = reopen();
        assertThat(indexes(found)).startsWith(2L, 3L).doesNotContain(6L);
        append(2, found.entries().size() + 2, 8);
        assertThat(indexes(reopen())).endsWith(8L);
    }

    @Test
    void batchWrittenOutOfOrderIsTruncated() throws IOException {
        initialize();
        append(1, 2, 3);
        long synced = Files.size(newestSegment());
        append(1, 4, 6);
        flip(newestSegment(), synced + 20);
        assertThat(indexes(reopen())).isEqualTo(range(2, 3));
    }

    /**
     * A byte of an old record changes on the disk. The record was synced, so others may rely on it; starting without
     * it, or with what follows, would silently lose an accepted change. The member must refuse to start and name the
     * file and the offset.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 9, 15, 35})
    void damagedMiddleIsRefused(int within) throws IOException {
        initialize();
        append(1, 2, 3);
        long second = Files.size(newestSegment());
        append(1, 4, 4);
        append(1, 5, 5);
        flip(newestSegment(), second + within);
        Path damaged = newestSegment();
        CorruptLogException refused = catchThrowableOfType(CorruptLogException.class, this::reopen);
        assertThat(refused.file()).isEqualTo(damaged);
        assertThat(refused.offset()).isEqualTo(second);
    }

    @Test
    void damageInAnOlderSegmentIsRefused() throws IOException {
        initialize();
        for (long i = 2; i <= 40; i++) {
            append(1, i, i);
        }
        Path oldest = segments().get(0);
        flip(oldest, Files.size(oldest) - 1);
        CorruptLogException refused = catchThrowableOfType(CorruptLogException.class, this::reopen);
        assertThat(refused.file()).isEqualTo(oldest);
        assertThat(refused).hasMessageContaining(oldest.toString());
    }

    @Test
    void missingSegmentIsRefused() throws IOException {
        initialize();
        for (long i = 2; i <= 40; i++) {
            append(1, i, i);
        }
        Files.delete(segments().get(1));
        assertThatThrownBy(this::reopen).isInstanceOf(CorruptLogException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"member", "snapshot-", "log-"})
    void partlyEmptiedFolderIsRefused(String prefix) throws IOException {
        initialize();
        append(1, 2, 5);
        close();
        for (Path file : files(prefix)) {
            Files.delete(file);
        }
        assertThatThrownBy(this::open).isInstanceOf(CorruptLogException.class);
    }

    /**
     * The process crashes while it writes a snapshot to the temporary file: the old snapshot and the whole log must be
     * found.
     */
    @Test
    void incompleteSnapshotIsIgnored() throws IOException {
        initialize();
        append(1, 2, 30);
        Files.write(path.resolve("snapshot-0000000000000014" + AtomicFile.TEMP_SUFFIX), new byte[100]);
        RecoveredState found = reopen();
        assertThat(found.snapshot().orElseThrow().index()).isEqualTo(1);
        assertThat(indexes(found)).isEqualTo(range(2, 30));
        assertThat(files("snapshot-")).hasSize(1);
    }

    @Test
    void damagedSnapshotIsRefused() throws IOException {
        initialize();
        snapshot(1, 1, false);
        Path file = files("snapshot-").get(0);
        flip(file, Files.size(file) - 1);
        CorruptLogException refused = catchThrowableOfType(CorruptLogException.class, this::reopen);
        assertThat(refused.file()).isEqualTo(file);
    }

    @Test
    void snapshotDeletesOldSegments() throws IOException {
        initialize();
        for (long i = 2; i <= 60; i++) {
            append(1, i, i);
        }
        assertThat(segments()).hasSize(5);
        snapshot(50, 1, false);
        assertThat(segments()).hasSize(2);
        RecoveredState found = reopen();
        assertThat(found.snapshot().orElseThrow().index()).isEqualTo(50);
        assertThat(indexes(found)).isEqualTo(range(51, 60));
    }

    /**
     * A leader's snapshot replaces the whole log, and the process crashes after the snapshot is written and before the
     * old segments are deleted. At the next start the old log, which contradicts the snapshot, must not be used.
     */
    @ParameterizedTest
    @ValueSource(ints = {20, 40})
    void interruptedInstallIsCompleted(int index) throws IOException {
        initialize();
        append(1, 2, 30);
        close();
        LogSnapshot installed = new LogSnapshot(index, 3, GROUP, new byte[5]);
        AtomicFile.write(path.resolve(String.format("snapshot-%016x", index)), installed.encode());
        RecoveredState found = open();
        assertThat(found.snapshot().orElseThrow().index()).isEqualTo(index);
        assertThat(found.entries()).isEmpty();
        append(3, index + 1, index + 2);
        assertThat(indexes(reopen())).isEqualTo(range(index + 1, index + 2));
    }

    @Test
    void conflictingTailIsReplaced() throws IOException {
        initialize();
        for (long i = 2; i <= 40; i++) {
            append(1, i, i);
        }
        append(2, 10, 12);
        RecoveredState found = reopen();
        assertThat(indexes(found)).isEqualTo(range(2, 12));
        assertThat(found.entries().get(9).term()).isEqualTo(2);
    }

    @Test
    void emptiedFolderGetsAnotherIdentity() throws IOException {
        long first = open().hardState().identity();
        close();
        for (Path file : files("")) {
            Files.delete(file);
        }
        folder = new MemberFolder(path, SEGMENT_BYTES, LogFile::open);
        assertThat(folder.recover("m", false, () -> 8).hardState().identity())
                .isEqualTo(8)
                .isNotEqualTo(first);
    }

    @Test
    void folderOfAnotherMemberOrInUseIsRefused() throws IOException {
        initialize();
        assertThatThrownBy(() -> new MemberFolder(path, SEGMENT_BYTES, LogFile::open).recover("m", false, () -> 9))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("in use");
        close();
        folder = new MemberFolder(path, SEGMENT_BYTES, LogFile::open);
        assertThatThrownBy(() -> folder.recover("other", false, () -> 9)).hasMessageContaining("belongs to member m");
    }

    @Test
    void recordOverheadIs29Bytes() {
        ByteBuffer record = RecordFormat.encode(new LogEntry(1, 1, EntryKind.COMMAND, new byte[100]), 0);
        assertThat(record.remaining())
                .isEqualTo(100 + RecordFormat.OVERHEAD_BYTES)
                .isEqualTo(129);
    }

    private RecoveredState open() throws IOException {
        folder = new MemberFolder(path, SEGMENT_BYTES, LogFile::open);
        return folder.recover("m", false, () -> 7);
    }

    private RecoveredState reopen() throws IOException {
        close();
        return open();
    }

    private void initialize() throws IOException {
        open();
        folder.execute(List.of(
                new PersistRequest.SaveSnapshot(LogSnapshot.bootstrap(GROUP), true),
                new PersistRequest.SaveHardState(new HardState(7, "m", 7, 1, 0))));
    }

    private void append(long term, long first, long last) throws IOException {
        List<LogEntry> entries = LongStream.rangeClosed(first, last)
                .mapToObj(
                        i -> new LogEntry(i, term, EntryKind.COMMAND, ("entry-" + i).getBytes(StandardCharsets.UTF_8)))
                .toList();
        folder.execute(List.of(new PersistRequest.AppendEntries(entries)));
    }

    private void vote(long term, long candidate) throws IOException {
        folder.execute(List.of(new PersistRequest.SaveHardState(new HardState(7, "m", 7, term, candidate))));
    }

    private void snapshot(long index, long term, boolean reset) throws IOException {
        folder.execute(
                List.of(new PersistRequest.SaveSnapshot(new LogSnapshot(index, term, GROUP, new byte[300]), reset)));
    }

    private static List<Long> indexes(RecoveredState state) {
        return state.entries().stream().map(LogEntry::index).toList();
    }

    private static List<Long> range(long first, long last) {
        return LongStream.rangeClosed(first, last).boxed().toList();
    }

    private Path newestSegment() throws IOException {
        List<Path> all = segments();
        return all.get(all.size() - 1);
    }

    private List<Path> segments() throws IOException {
        return files("log-");
    }

    private List<Path> files(String prefix) throws IOException {
        List<Path> found = new ArrayList<>();
        try (Stream<Path> all = Files.list(path)) {
            all.filter(p -> p.getFileName().toString().startsWith(prefix)).forEach(found::add);
        }
        found.sort(Comparator.comparing(Path::getFileName));
        return found;
    }

    private static void flip(Path file, long offset) throws IOException {
        try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "rw")) {
            open.seek(offset);
            int old = open.read();
            open.seek(offset);
            open.write(old ^ 0x40);
        }
    }
}
