package org.copperspindle.origin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.core.DecisionQueue;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;

/**
 * The store of a node with a disk. Records are collected for a short time, then written and synced together on a thread
 * of its own. While a write is in progress the next records are collected; the oldest are dropped when they are too
 * many.
 */
final class DiskOriginStore implements OriginStore {

    /** Time in which records are collected, in nanoseconds: many streams share one sync. */
    static final long COLLECTION_NANOS = Duration.ofMillis(50).toNanos();

    /** Largest number of records that wait for the disk. */
    static final int MAX_PENDING = 20_000;

    /** Largest number of records that are written together; they fit into a file. */
    static final int MAX_BATCH = 10_000;

    /** Delay after a failed write, in nanoseconds. */
    static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /** How long a start waits for the disk. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

    /** How long a stop waits for the disk, in nanoseconds: less than is kept for the end of a stop. */
    private static final long FLUSH_TIMEOUT_NANOS = Duration.ofMillis(200).toNanos();

    private static final long LOG_INTERVAL_NANOS = Duration.ofMinutes(1).toNanos();

    private static final Logger LOGGER = LogManager.getLogger(DiskOriginStore.class);

    private final OriginFiles files;
    private final DecisionQueue disk;
    private final Runnable stopDisk;
    private final Executor network;
    private final TimerService timers;
    private final LongSupplier lifetimeNanos;
    private final DeferredTask collection;
    private final DeferredTask removal;
    private final Deque<OriginRecord> pending = new ArrayDeque<>();
    private final List<Runnable> flushes = new ArrayList<>();
    private OriginStoreStatus status = new OriginStoreStatus(0, 0, 0);
    private OptionalLong loggedFailureAt = OptionalLong.empty();
    private long notBefore;
    private boolean writing;
    private boolean stalled;
    private volatile boolean closed;

    /**
     * Creates a store.
     *
     * @param files         files that only the disk's thread uses
     * @param disk          the disk's thread
     * @param stopDisk      ends that thread; run on it
     * @param network       the network thread
     * @param timers        timers of the network thread
     * @param lifetimeNanos supplies how long records are valid, in nanoseconds
     */
    DiskOriginStore(
            OriginFiles files,
            DecisionQueue disk,
            Runnable stopDisk,
            Executor network,
            TimerService timers,
            LongSupplier lifetimeNanos) {
        this.files = files;
        this.disk = disk;
        this.stopDisk = stopDisk;
        this.network = network;
        this.timers = timers;
        this.lifetimeNanos = lifetimeNanos;
        this.collection = new DeferredTask(timers, this::writePending);
        this.removal = new DeferredTask(timers, this::removeExpired);
        this.notBefore = timers.nanoTime();
    }

    /** {@inheritDoc} Waits for the disk for a bounded time; what it returns later is received later. */
    @Override
    public void read(Consumer<StoredOrigins> listener) {
        long lifetime = lifetimeNanos.getAsLong();
        CompletableFuture<Void> read = CompletableFuture.supplyAsync(
                        () -> files.read(timers.nanoTime(), lifetime), disk::offer)
                .thenAccept(stored -> report(0, 0, () -> stored.forEach(listener)));
        try {
            read.get(READ_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOGGER.warn("event=stream-origins-not-read reason=\"{}\"", e.toString());
        } catch (InterruptedException e) {
            LOGGER.warn("event=stream-origins-not-read reason=\"{}\"", e.toString());
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void add(List<OriginRecord> records) {
        if (records.isEmpty()) {
            return;
        }
        pending.addAll(records);
        int surplus = pending.size() - MAX_PENDING;
        for (int i = 0; i < surplus; i++) {
            pending.removeFirst();
        }
        if (surplus > 0) {
            count(0, surplus, status.bytes());
            if (!stalled) {
                LOGGER.warn("event=stream-origins-stalled pending={}", MAX_PENDING);
            }
            stalled = true;
        }
        schedule();
    }

    @Override
    public void flush(Runnable done) {
        if (pending.isEmpty() && !writing) {
            done.run();
            return;
        }
        flushes.add(done);
        timers.schedule(FLUSH_TIMEOUT_NANOS, this::endFlushes);
        writePending();
    }

    @Override
    public Optional<OriginStoreStatus> status() {
        return Optional.of(status);
    }

    @Override
    public void close() {
        closed = true;
        disk.offer(() -> {
            files.close();
            stopDisk.run();
        });
    }

    private void schedule() {
        collection.schedule(Math.max(COLLECTION_NANOS, notBefore - timers.nanoTime()));
    }

    private void writePending() {
        if (writing || pending.isEmpty()) {
            return;
        }
        List<OriginRecord> batch = new ArrayList<>(Math.min(MAX_BATCH, pending.size()));
        while (batch.size() < MAX_BATCH && !pending.isEmpty()) {
            batch.add(pending.removeFirst());
        }
        long lifetime = lifetimeNanos.getAsLong();
        writing = true;
        if (!disk.offer(() -> write(batch, lifetime))) {
            writing = false;
            count(0, batch.size(), status.bytes());
        }
    }

    /** Writes records, on the disk's thread. */
    private void write(List<OriginRecord> batch, long lifetime) {
        OptionalInt synced = append(batch, lifetime);
        report(synced.orElse(0), batch.size() - synced.orElse(0), () -> onWritten(synced.isEmpty()));
    }

    private OptionalInt append(List<OriginRecord> batch, long lifetime) {
        try {
            return OptionalInt.of(files.append(batch, timers.nanoTime(), lifetime));
        } catch (IOException | RuntimeException e) {
            logFailure(e);
            return OptionalInt.empty();
        }
    }

    private void logFailure(Exception reason) {
        long now = timers.nanoTime();
        if (loggedFailureAt.isEmpty() || now - loggedFailureAt.getAsLong() >= LOG_INTERVAL_NANOS) {
            loggedFailureAt = OptionalLong.of(now);
            LOGGER.warn("event=stream-origins-not-stored reason=\"{}\"", reason.toString());
        }
    }

    private void onWritten(boolean failed) {
        writing = false;
        stalled = false;
        if (failed) {
            notBefore = timers.nanoTime() + RETRY_NANOS;
        }
        if (failed || pending.isEmpty()) {
            endFlushes();
        } else if (!flushes.isEmpty()) {
            writePending();
        }
        if (!pending.isEmpty()) {
            schedule();
        }
    }

    private void endFlushes() {
        List<Runnable> ended = List.copyOf(flushes);
        flushes.clear();
        ended.forEach(Runnable::run);
    }

    private void removeExpired() {
        disk.offer(() -> {
            files.removeExpired(timers.nanoTime());
            report(0, 0, () -> {});
        });
    }

    /** Reports the state of the files to the network thread. */
    private void report(int synced, int lost, Runnable next) {
        long bytes = files.bytes();
        OptionalLong expiry = files.nextExpiry();
        if (closed) {
            return;
        }
        network.execute(() -> {
            count(synced, lost, bytes);
            expiry.ifPresent(at -> removal.schedule(at - timers.nanoTime()));
            next.run();
        });
    }

    private void count(int synced, int lost, long bytes) {
        status = new OriginStoreStatus(status.synced() + synced, status.lost() + lost, bytes);
    }
}
