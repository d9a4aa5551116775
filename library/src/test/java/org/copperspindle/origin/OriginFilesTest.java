package org.copperspindle.origin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.disk.Checksum;
import org.copperspindle.disk.LogFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * What is read from files that a loss of power, a full disk or someone else has damaged.
 */
class OriginFilesTest {

    private static final long LIFETIME = Duration.ofSeconds(30).toNanos();
    private static final int SEEDS = 300;
    private static final int FULL_BATCH = DiskOriginStore.MAX_BATCH;

    @TempDir
    private Path folder;

    private final FaultyFile disk = new FaultyFile();

    /** A write that a loss of power cut off: the records before it are whole. */
    @Test
    void recordsBeforeATornTailAreRead() throws IOException {
        List<OriginRecord> records = records(0, 10);
        append(records, 0);
        byte[] bytes = Files.readAllBytes(file(1));
        Files.write(file(1), Arrays.copyOf(bytes, bytes.length - 3));
        assertThat(read()).isEqualTo(records.subList(0, 9));
    }

    /** Pages reach the disk in any order: records behind a page that is missing must not be lost with it. */
    @Test
    void recordsBehindATornMiddleAreRead() throws IOException {
        List<OriginRecord> records = records(0, 100);
        append(records, 0);
        byte[] bytes = Files.readAllBytes(file(1));
        int middle = bytes.length / 2;
        Arrays.fill(bytes, middle, middle + 200, (byte) 0);
        Files.write(file(1), bytes);
        List<OriginRecord> read = read();
        assertThat(records).containsSubsequence(read);
        assertThat(read)
                .startsWith(records.subList(0, 45).toArray(new OriginRecord[0]))
                .endsWith(records.subList(55, 100).toArray(new OriginRecord[0]));
    }

    /** The header is synced with the first records only: a damaged one must not hide them. */
    @Test
    void recordsBehindADamagedHeaderAreRead() throws IOException {
        List<OriginRecord> records = records(0, 10);
        append(records, 0);
        byte[] bytes = Files.readAllBytes(file(1));
        bytes[9]++;
        Files.write(file(1), bytes);
        assertThat(read()).isEqualTo(records);
    }

    /** Any damage at any place: every record that it does not touch is read, and nothing else. */
    @Test
    void recordsThatAreNotDamagedAreRead() throws IOException {
        List<OriginRecord> records = records(0, 50);
        append(records, 0);
        byte[] whole = Files.readAllBytes(file(1));
        int recordBytes = (whole.length - OriginFileFormat.HEADER_BYTES) / records.size();
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            byte[] bytes = whole.clone();
            int from = OriginFileFormat.HEADER_BYTES + random.nextInt(bytes.length - OriginFileFormat.HEADER_BYTES);
            int to = from + random.nextInt(Math.min(300, bytes.length - from));
            for (int i = from; i < to; i++) {
                bytes[i] ^= (byte) (1 + random.nextInt(255));
            }
            boolean cut = random.nextInt(3) == 0;
            Files.write(file(1), cut ? Arrays.copyOf(bytes, to) : bytes);
            int before = (from - OriginFileFormat.HEADER_BYTES) / recordBytes;
            int behind = Math.max(0, (bytes.length - to) / recordBytes);
            List<OriginRecord> expected = new ArrayList<>(records.subList(0, before));
            if (from == to && !cut) {
                expected = records;
            } else if (!cut) {
                expected.addAll(records.subList(records.size() - behind, records.size()));
            }
            assertThat(read()).as("seed %d", seed).isEqualTo(expected);
        }
    }

    /** A new file may be missing after a loss of power, and others may lie in the folder. */
    @Test
    void missingAndForeignFilesAreSkipped() throws IOException {
        append(records(0, 2), 0);
        append(records(2, 2), 0);
        append(records(4, 2), 0);
        Files.delete(file(2));
        byte[] foreign = new byte[100_000];
        new Random(1).nextBytes(foreign);
        Files.write(file(4), foreign);
        Files.write(folder.resolve("notes.txt"), foreign);
        Files.createFile(file(5));
        Files.createDirectory(file(6));
        assertThat(read())
                .isEqualTo(Stream.concat(records(0, 2).stream(), records(4, 2).stream())
                        .toList());
        assertThat(folder.resolve("notes.txt")).exists();
    }

    /** A later build has written the file before the node went back to this one. */
    @Test
    void filesOfAnotherFormatAreSkipped() throws IOException {
        append(records(0, 2), 0);
        byte[] bytes = Files.readAllBytes(file(1));
        byte[] header = new byte[OriginFileFormat.HEADER_BYTES];
        ByteBuffer later = ByteBuffer.wrap(header);
        later.put(bytes, 0, header.length).putShort(Integer.BYTES, (short) 2);
        later.putInt(header.length - Integer.BYTES, Checksum.crc32c(later, 0, header.length - 4));
        System.arraycopy(header, 0, bytes, 0, header.length);
        Files.write(file(1), bytes);
        assertThat(read()).isEmpty();
    }

    /** The data folder is not readable, or not there yet: the node starts without records. */
    @ParameterizedTest
    @ValueSource(strings = {"missing", "file"})
    void unreadableFolderHoldsNothing(String name) throws IOException {
        Files.createFile(folder.resolve("file"));
        OriginFiles files = new OriginFiles(folder.resolve(name), disk::open);
        assertThat(files.read(0, LIFETIME)).isEmpty();
        assertThat(files.bytes()).isZero();
    }

    /** The disk is full and has room again later: what was stored before is kept, a new file takes the next records. */
    @Test
    void fullDiskLosesOnlyWhatWasAppendedMeanwhile() throws IOException {
        OriginFiles files = files();
        files.append(records(0, 5), 0, LIFETIME);
        disk.full = true;
        for (int i = 0; i < 3; i++) {
            assertThatThrownBy(() -> files.append(records(5, 5), 1, LIFETIME)).isInstanceOf(IOException.class);
        }
        disk.full = false;
        files.append(records(10, 5), 2, LIFETIME);
        assertThat(read()).containsAll(records(0, 5)).containsAll(records(10, 5));
        try (Stream<Path> all = Files.list(folder)) {
            assertThat(all).as("no file for each failure").hasSize(2);
        }
        assertThat(files.bytes()).isEqualTo(length());
    }

    /** Many streams begin within the interval: they must share one sync. */
    @Test
    void recordsShareOneSync() throws IOException {
        OriginFiles files = files();
        files.append(records(0, 1000), 0, LIFETIME);
        assertThat(disk.syncs).isEqualTo(1);
        files.append(records(0, 1000), 1, LIFETIME);
        assertThat(disk.syncs).isEqualTo(2);
    }

    /** Files are removed once their records have expired, and not before. */
    @Test
    void filesAreRemovedOnceTheyHaveExpired() throws IOException {
        OriginFiles files = files();
        files.append(records(0, 1), 0, LIFETIME);
        files.append(records(1, 1), LIFETIME - 1, LIFETIME);
        files.append(records(2, 1), LIFETIME, LIFETIME);
        assertThat(files.nextExpiry()).isEqualTo(OptionalLong.of(2 * LIFETIME - 1));
        files.removeExpired(2 * LIFETIME - 2);
        assertThat(file(1)).exists();
        files.removeExpired(2 * LIFETIME - 1);
        assertThat(file(1)).doesNotExist();
        assertThat(file(2)).exists();
        files.removeExpired(2 * LIFETIME);
        assertThat(file(2)).doesNotExist();
        assertThat(files.bytes()).isZero();
        files.append(records(3, 1), 2 * LIFETIME, LIFETIME);
        assertThat(read()).isEqualTo(records(3, 1));
    }

    /** A process reads what a former one wrote, whose clock and timeouts were others. */
    @Test
    void filesOfAFormerProcessExpireOneLifetimeAfterTheStart() throws IOException {
        append(records(0, 1), 5 * LIFETIME);
        OriginFiles files = files();
        List<StoredOrigins> stored = files.read(7, LIFETIME / 2);
        assertThat(stored).containsExactly(new StoredOrigins(records(0, 1), LIFETIME));
        assertThat(files.nextExpiry()).isEqualTo(OptionalLong.of(7 + LIFETIME));
        files.append(records(1, 1), 8, LIFETIME);
        assertThat(read()).isEqualTo(records(0, 2));
        files.removeExpired(7 + LIFETIME);
        assertThat(read()).isEqualTo(records(1, 1));
    }

    /** Callers choose how many streams they begin: the files must not fill the disk, and the newest must be kept. */
    @Test
    void filesAreBounded() throws IOException {
        OriginFiles files = files();
        List<OriginRecord> last = List.of();
        for (int i = 0; i < 40; i++) {
            last = records(i * FULL_BATCH, FULL_BATCH);
            files.append(last, i, LIFETIME);
            assertThat(length()).isLessThanOrEqualTo(OriginFiles.MAX_BYTES).isEqualTo(files.bytes());
        }
        assertThat(length()).isGreaterThan(OriginFiles.MAX_BYTES - 2L * OriginFiles.MAX_FILE_BYTES);
        assertThat(read()).endsWith(last.toArray(new OriginRecord[0]));
    }

    /** The longest batch must fit into one file. */
    @Test
    void longestRecordsFit() throws IOException {
        List<OriginRecord> longest = IntStream.range(0, FULL_BATCH)
                .mapToObj(i -> record("r" + i, "p".repeat(300), "v".repeat(48), Integer.MAX_VALUE))
                .toList();
        assertThat(files().append(longest, 0, LIFETIME)).isEqualTo(FULL_BATCH);
        assertThat(length()).isLessThanOrEqualTo(OriginFiles.MAX_FILE_BYTES);
    }

    private OriginFiles files() {
        return new OriginFiles(folder, disk::open);
    }

    /** Appends records in a process that starts and ends with that. */
    private void append(List<OriginRecord> records, long now) throws IOException {
        OriginFiles files = files();
        files.read(now, LIFETIME);
        files.append(records, now, LIFETIME);
        files.close();
    }

    private List<OriginRecord> read() {
        return new OriginFiles(folder, LogFile::open)
                .read(0, LIFETIME).stream()
                        .flatMap(stored -> stored.records().stream())
                        .toList();
    }

    private Path file(int number) {
        return folder.resolve(String.format("origins-%012d.log", number));
    }

    private long length() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.mapToLong(path -> path.toFile().length()).sum();
        }
    }

    /** Returns records of equal length. */
    private static List<OriginRecord> records(int from, int count) {
        return IntStream.range(from, from + count)
                .mapToObj(i -> record("r" + i, "pool", "v1.2", 1))
                .toList();
    }

    private static OriginRecord record(String request, String pool, String software, long order) {
        StreamKey key = StreamKey.of("pool", "t", request);
        return new OriginRecord(key, pool, new StreamOrigin(SoftwareVersion.of(software), order));
    }
}
