package org.copperspindle.audit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the chain on disk: modified bytes, crashes, replays and snapshots.
 */
class AuditTrailTest {

    private static final int RECORDS = 40;
    private static final long SMALL_FILE = 2000;

    @TempDir
    private Path folder;

    /**
     * A byte in the trail of one member is modified to hide a change. Verification reports the record and its offset,
     * because each frame contains its digest and each record the digest of the previous one.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7, 39})
    void modifiedByteIsReported(int record) throws Exception {
        List<AuditRecord> written = write(folder, RECORDS, Long.MAX_VALUE);
        long offset = written.stream()
                .limit(record)
                .mapToLong(r -> AuditFrame.encode(r).remaining())
                .sum();
        int length = AuditFrame.encode(written.get(record)).remaining();
        Path file = new AuditFolder(folder).files().get(0);
        byte[] original = Files.readAllBytes(file);
        for (int at = 0; at < length; at++) {
            byte[] changed = original.clone();
            changed[(int) offset + at] ^= 0x40;
            Files.write(file, changed);

            AuditFinding first = verify(folder).findings().get(0);

            assertThat(first).as("byte " + at).isInstanceOfSatisfying(AuditFinding.Changed.class, found -> {
                assertThat(found.number()).isEqualTo(record + 1);
                assertThat(found.offset()).isEqualTo(offset);
                assertThat(found.file()).isEqualTo(file.getFileName().toString());
            });
        }
    }

    /**
     * A record is modified and its digest recomputed, so that it is consistent in itself. The next record still
     * contains the digest of the original, and is reported as the first that does not follow.
     */
    @Test
    void modifiedRecordWithNewDigestBreaksTheChain() throws Exception {
        List<AuditRecord> written = write(folder, RECORDS, Long.MAX_VALUE);
        written.set(4, withOtherContents(written.get(4)));
        rewrite(written);

        assertThat(verify(folder).findings())
                .hasSize(1)
                .first()
                .isInstanceOfSatisfying(
                        AuditFinding.Changed.class,
                        found -> assertThat(found.number()).isEqualTo(6));
    }

    /**
     * A record is modified and the chain recomputed from there on. The files are consistent in themselves; only the
     * head in the replicated state, which every other member holds too, reveals the difference.
     */
    @Test
    void rewrittenChainDiffersFromTheReplicatedHead() throws Exception {
        List<AuditRecord> written = write(folder, RECORDS, Long.MAX_VALUE);
        AuditHead head = AuditHead.after(written.get(RECORDS - 1));
        AuditTrail forged = new AuditTrail(AuditSink.NONE);
        List<AuditRecord> rewritten = new ArrayList<>();
        for (int i = 0; i < RECORDS; i++) {
            rewritten.add(forged.append(i + 1, 1, entry(i == 4 ? "nobody" : "ann", i)));
        }
        rewrite(rewritten);
        AuditVerifier verifier = verify(folder);
        assertThat(verifier.findings()).isEmpty();

        verifier.finish(head);

        assertThat(verifier.findings()).hasSize(1);
    }

    /**
     * The VM loses power while a record is being written, at every possible byte. After the restart the partial record
     * is truncated, the log is replayed from its start, and the trail contains every record exactly once.
     */
    @Test
    void partialRecordIsTruncatedAndReplayedOnce() throws Exception {
        List<AuditRecord> written = write(folder, 3, Long.MAX_VALUE);
        Path file = new AuditFolder(folder).files().get(0);
        byte[] whole = Files.readAllBytes(file);
        int last = AuditFrame.encode(written.get(2)).remaining();
        for (int lost = 1; lost < last; lost++) {
            Files.write(file, Arrays.copyOf(whole, whole.length - lost));
            new AuditStore(folder).close();
            assertThat(verify(folder).findings()).as("lost " + lost).isEmpty();

            write(folder, 3, Long.MAX_VALUE);

            assertThat(Files.readAllBytes(file)).as("lost " + lost).isEqualTo(whole);
        }
    }

    /**
     * A member restarts and replays its whole log when its trail spans several files. Every record is already stored,
     * so the files stay identical byte for byte.
     */
    @Test
    void replayChangesNothing() throws Exception {
        write(folder, RECORDS, SMALL_FILE);
        Map<Path, String> before = contents();

        write(folder, RECORDS, SMALL_FILE);

        assertThat(contents()).isEqualTo(before);
    }

    /**
     * The first record of the newest file is damaged, so nothing in the file can be trusted. The member writes the
     * records of the replayed log into a new file of that name and keeps the damaged file next to it.
     */
    @Test
    void damagedFileIsKeptAndReplaced() throws Exception {
        write(folder, RECORDS, SMALL_FILE);
        Map<Path, String> before = contents();
        List<Path> files = new AuditFolder(folder).files();
        Path last = files.get(files.size() - 1);
        byte[] bytes = Files.readAllBytes(last);
        bytes[60] ^= 1;
        Files.write(last, bytes);

        write(folder, RECORDS, SMALL_FILE);

        assertThat(contents()).isEqualTo(before);
        assertThat(last.resolveSibling(last.getFileName() + ".damaged")).hasBinaryContent(bytes);
    }

    /**
     * A member loses records that its disk had not synced, after a snapshot had already truncated the log. The records
     * are restored from the snapshot, so that the trail has no gap.
     */
    @Test
    void snapshotRestoresRecordsThatTheDiskLost() throws Exception {
        LosingSink sink = new LosingSink();
        AuditTrail trail = new AuditTrail(sink);
        for (int i = 0; i < 1000; i++) {
            trail.append(i + 1, 1, entry("ann", i));
            sink.durable = Math.min(i + 1, 100);
        }
        byte[] snapshot = trail.snapshot();
        try (AuditStore store = new AuditStore(folder)) {
            sink.records.subList(0, 100).forEach(store::append);
        }

        try (AuditStore store = new AuditStore(folder)) {
            AuditTrail restored = new AuditTrail(store);
            restored.restore(snapshot);
            assertThat(restored.head()).isEqualTo(trail.head());
        }

        AuditVerifier verifier = verify(folder);
        assertThat(verifier.findings()).isEmpty();
        assertThat(verifier.head()).isEqualTo(trail.head());
    }

    /**
     * A new voter receives a snapshot instead of a long log, so its trail starts late. Verification reports which
     * records are missing there, and no modified ones.
     */
    @Test
    void lateMemberReportsMissingRecords() throws Exception {
        AuditTrail trail = new AuditTrail(AuditSink.NONE);
        for (int i = 0; i < 1000; i++) {
            trail.append(i + 1, 1, entry("ann", i));
        }
        try (AuditStore store = new AuditStore(folder)) {
            AuditTrail late = new AuditTrail(store);
            late.restore(trail.snapshot());
            late.append(1001, 2, entry("ben", 1000));
        }

        AuditVerifier verifier = verify(folder);

        assertThat(verifier.findings()).containsExactly(new AuditFinding.Missing(1, 744));
        assertThat(verifier.checked()).isEqualTo(257);
    }

    @Test
    void pagesSpanFiles() throws Exception {
        List<AuditRecord> written = write(folder, RECORDS, SMALL_FILE);
        assertThat(new AuditFolder(folder).files()).hasSizeGreaterThan(2);
        List<Long> read = new ArrayList<>();
        for (List<AuditRecord> page = new AuditFolder(folder).page(0, 7);
                !page.isEmpty();
                page = new AuditFolder(folder).page(read.get(read.size() - 1), 7)) {
            page.forEach(r -> read.add(r.number()));
        }

        assertThat(read).isEqualTo(written.stream().map(AuditRecord::number).toList());
        assertThat(verify(folder).findings()).isEmpty();
    }

    private List<AuditRecord> write(Path where, int count, long maxFileBytes) throws IOException {
        LosingSink all = new LosingSink();
        AuditTrail trail = new AuditTrail(all);
        for (int i = 0; i < count; i++) {
            trail.append(i + 1, 1, entry("ann", i));
        }
        try (AuditStore store = new AuditStore(where, maxFileBytes)) {
            all.records.forEach(store::append);
        }
        return all.records;
    }

    private Map<Path, String> contents() throws IOException {
        Map<Path, String> contents = new TreeMap<>();
        for (Path file : new AuditFolder(folder).files()) {
            contents.put(file, HexFormat.of().formatHex(Files.readAllBytes(file)));
        }
        return contents;
    }

    private void rewrite(List<AuditRecord> records) throws IOException {
        Path file = new AuditFolder(folder).files().get(0);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        records.forEach(r -> bytes.writeBytes(AuditFrame.encode(r).array()));
        Files.write(file, bytes.toByteArray());
    }

    private static AuditVerifier verify(Path folder) throws IOException {
        return new AuditFolder(folder).verify(r -> {});
    }

    private static AuditRecord withOtherContents(AuditRecord r) {
        return new AuditRecord(r.number(), r.index(), r.term(), r.previous(), AuditEntry.CODEC.encode(entry("x", 0)));
    }

    private static AuditEntry entry(String actor, int i) {
        return new AuditEntry(AuditKind.CHANGE, actor, "c" + i, i, i + 1, 1000L * i, List.of("~ [deployment] name"));
    }

    /** Records what is appended; the test sets up to which record it counts as durable. */
    private static final class LosingSink implements AuditSink {
        private final List<AuditRecord> records = new ArrayList<>();
        private long durable;

        @Override
        public void append(AuditRecord record) {
            records.add(record);
        }

        @Override
        public long durable() {
            return durable;
        }
    }
}
