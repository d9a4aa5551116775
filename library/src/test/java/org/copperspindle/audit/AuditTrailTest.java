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
 * The chain on disk: changed bytes, crashes, replays and snapshots.
 */
class AuditTrailTest {

    private static final int RECORDS = 40;
    private static final long SMALL_FILE = 2000;

    @TempDir
    private Path folder;

    /**
     * Somebody edits the trail of one member to hide a change. The operator runs the check; it names the record and
     * where it lies, because each frame carries its digest and each record the digest of the one before.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7, 39})
    void changedByteIsFoundAndNamed(int record) throws Exception {
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
     * Somebody changes a record and computes its digest anew, so that it is whole in itself. The record after it still
     * carries the digest of the original, and is named as the first that does not follow.
     */
    @Test
    void changedRecordWithFreshDigestBreaksTheLink() throws Exception {
        List<AuditRecord> written = write(folder, RECORDS, Long.MAX_VALUE);
        written.set(4, relabelled(written.get(4)));
        rewrite(written);

        assertThat(verify(folder).findings())
                .hasSize(1)
                .first()
                .isInstanceOfSatisfying(
                        AuditFinding.Changed.class,
                        found -> assertThat(found.number()).isEqualTo(6));
    }

    /**
     * Somebody changes a record and computes the whole chain anew from there. The files are whole in themselves; only
     * the head in the replicated state, which every other member holds too, tells the two histories apart.
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
     * The VM loses power while a record is being written, at every possible byte. After the restart the half record is
     * cut off, the log is replayed from its start, and the trail is whole with every record once.
     */
    @Test
    void tornRecordIsCutAndReplayedOnce() throws Exception {
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
     * A member restarts and replays its whole log, after its trail has grown over several files. Every record is there
     * already: the files stay as they are, byte for byte.
     */
    @Test
    void replayChangesNothing() throws Exception {
        write(folder, RECORDS, SMALL_FILE);
        Map<Path, String> before = contents();

        write(folder, RECORDS, SMALL_FILE);

        assertThat(contents()).isEqualTo(before);
    }

    /**
     * The first record of the newest file is damaged, so that nothing in the file can be trusted. The member writes the
     * records of the replayed log into a fresh file of that name and keeps the damaged one beside it.
     */
    @Test
    void damagedFileIsSetAsideAndWrittenAnew() throws Exception {
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
     * A member loses what its disk had not synced, after a snapshot had already cut the log behind it. The records come
     * back from the snapshot, so that the trail has no hole.
     */
    @Test
    void snapshotCarriesRecordsThatTheDiskLost() throws Exception {
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
     * A new voter is given a snapshot in place of a long log. Its trail starts late: the check says which records are
     * not held there, and finds nothing changed.
     */
    @Test
    void lateMemberNamesWhatItNeverHeld() throws Exception {
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
    void pagesCrossFiles() throws Exception {
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

    private static AuditRecord relabelled(AuditRecord r) {
        return new AuditRecord(r.number(), r.index(), r.term(), r.previous(), AuditEntry.CODEC.encode(entry("x", 0)));
    }

    private static AuditEntry entry(String actor, int i) {
        return new AuditEntry(AuditKind.CHANGE, actor, "c" + i, i, i + 1, 1000L * i, List.of("~ [deployment] name"));
    }

    /** Remembers what it was given; its disk is as far as the test says. */
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
