package org.copperspindle.origin;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A store whose disk is slow, full or idle, in virtual time.
 */
class DiskOriginStoreTest {

    private static final long LIFETIME = Duration.ofSeconds(30).toNanos();

    @TempDir
    private Path folder;

    private final VirtualTimerService time = new VirtualTimerService();
    private final FaultyFile disk = new FaultyFile();
    private final Deque<Runnable> stalled = new ArrayDeque<>();
    private boolean stalls;
    private int tasks;
    private DiskOriginStore store;

    @BeforeEach
    void start() {
        store = open();
    }

    /** Streams that begin within 50 ms share one write and one sync. */
    @Test
    void recordsAreCollected() {
        for (int i = 0; i < 49; i++) {
            store.add(records(i, 1));
            advance(1);
        }
        assertThat(disk.syncs).isZero();
        advance(1);
        assertThat(disk.syncs).isEqualTo(1);
        assertThat(store.status()).hasValueSatisfying(status -> {
            assertThat(status.synced()).isEqualTo(49);
            assertThat(status.lost()).isZero();
            assertThat(status.bytes()).isPositive();
        });
        assertThat(read()).isEqualTo(records(0, 49));
    }

    /** With one version in use nothing is recorded: the disk's thread must sleep. */
    @Test
    void idleStoreDoesNothing() {
        store.add(List.of());
        advance(600_000);
        assertThat(tasks).isZero();
        store.add(records(0, 1));
        advance(600_000);
        assertThat(disk.syncs).isEqualTo(1);
        assertThat(tasks).as("one write, one removal").isEqualTo(2);
        assertThat(status().bytes()).isZero();
    }

    /** A sync takes seconds: the network thread goes on, and the newest records are kept in bounded memory. */
    @Test
    void stalledDiskKeepsTheNewestRecords() {
        stalls = true;
        store.add(records(0, 10));
        advance(50);
        for (int i = 0; i < 25; i++) {
            store.add(records(10 + i * 1000, 1000));
            advance(50);
        }
        assertThat(tasks).as("one write at a time").isEqualTo(1);
        assertThat(status()).isEqualTo(new OriginStoreStatus(0, 5_000, 0));
        stalls = false;
        stalled.forEach(Runnable::run);
        advance(200);
        assertThat(status().synced()).isEqualTo(20_010);
        assertThat(read())
                .startsWith(records(0, 10).get(0))
                .endsWith(records(25_009, 1).get(0));
    }

    /** The disk is full for a while: the records of that time are counted, later ones are stored. */
    @Test
    void fullDiskIsTriedAgain() {
        disk.full = true;
        store.add(records(0, 5));
        advance(50);
        assertThat(status()).isEqualTo(new OriginStoreStatus(0, 5, 0));
        disk.full = false;
        store.add(records(5, 5));
        advance(900);
        assertThat(status().synced()).as("not before a second has passed").isZero();
        advance(100);
        assertThat(status().synced()).isEqualTo(5);
        assertThat(read()).isEqualTo(records(5, 5));
    }

    /** A stop must not lose what has been handed over, nor wait for a disk that stands still. */
    @Test
    void stopWaitsForTheDiskForABoundedTime() {
        List<String> done = new ArrayList<>();
        store.flush(() -> done.add("nothing"));
        store.add(records(0, 15_000));
        store.flush(() -> done.add("all"));
        assertThat(done).containsExactly("nothing", "all");
        assertThat(read()).isEqualTo(records(0, 15_000));
        stalls = true;
        store.add(records(0, 1));
        store.flush(() -> done.add("stalled"));
        advance(199);
        assertThat(done).hasSize(2);
        advance(1);
        assertThat(done).containsExactly("nothing", "all", "stalled");
    }

    /** A process starts again: it must read what the former one wrote, before it answers. */
    @Test
    void nextProcessReadsTheRecords() {
        store.add(records(0, 1));
        advance(50);
        store.close();
        assertThat(read()).isEqualTo(records(0, 1));
        advance(30_000);
        assertThat(read()).as("removed by the process that read it").isEmpty();
    }

    private OriginStoreStatus status() {
        return store.status().orElseThrow();
    }

    private DiskOriginStore open() {
        return new DiskOriginStore(
                new OriginFiles(folder, disk::open), this::run, () -> {}, Runnable::run, time, () -> LIFETIME);
    }

    private boolean run(Runnable task) {
        tasks++;
        if (stalls) {
            stalled.add(task);
        } else {
            task.run();
        }
        return true;
    }

    private void advance(int millis) {
        time.advance(Duration.ofMillis(millis).toNanos());
    }

    private List<OriginRecord> read() {
        List<OriginRecord> read = new ArrayList<>();
        open().read(stored -> read.addAll(stored.records()));
        return read;
    }

    private static List<OriginRecord> records(int from, int count) {
        StreamOrigin origin = new StreamOrigin(SoftwareVersion.of("v1.2"), 1);
        return IntStream.range(from, from + count)
                .mapToObj(i -> new OriginRecord(StreamKey.of("pool", "t", "r" + i), "pool", origin))
                .toList();
    }
}
