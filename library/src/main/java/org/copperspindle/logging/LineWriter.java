package org.copperspindle.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.LongSupplier;

/**
 * Writes log lines on a separate thread. Decisions never wait for the reader of standard output: lines are dropped
 * while the queue is full. The lines per second are limited as well.
 */
final class LineWriter {

    private static final int QUEUE_CAPACITY = 2048;

    /** Lines per second that the reader of a busy node's output can still process. */
    private static final int LINES_PER_SECOND = 500;

    /** Lines that may be written in a burst after a quiet time. */
    private static final int MAX_BURST_LINES = 1500;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final OutputStream out;
    private final LongSupplier nanoTime;
    private double availableLines = MAX_BURST_LINES;
    private long refilledNanos;
    private long queuedLines;
    private long writtenLines;

    /**
     * Creates a writer.
     *
     * @param out      where lines go
     * @param nanoTime monotonic time in nanoseconds
     */
    LineWriter(OutputStream out, LongSupplier nanoTime) {
        this.out = out;
        this.nanoTime = nanoTime;
        this.refilledNanos = nanoTime.getAsLong();
    }

    /** Starts the writer thread. */
    void start() {
        Thread thread = new Thread(this::run, "log-lines");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Acquires permission to write one line from the rate limit.
     *
     * @return false if the limit is reached
     */
    synchronized boolean tryAcquireLine() {
        long now = nanoTime.getAsLong();
        availableLines =
                Math.min(MAX_BURST_LINES, availableLines + (now - refilledNanos) / NANOS_PER_SECOND * LINES_PER_SECOND);
        refilledNanos = now;
        if (availableLines < 1) {
            return false;
        }
        availableLines--;
        return true;
    }

    /** Queues a line; it is dropped if the queue is full because lines come faster than they are read. */
    synchronized void write(String line) {
        if (queue.offer(line)) {
            queuedLines++;
        }
    }

    /**
     * Waits until all lines queued before the call are written.
     *
     * @param bound longest wait
     * @return false if lines are left because the reader of standard output has stopped
     * @throws InterruptedException if the wait is interrupted
     */
    synchronized boolean flush(Duration bound) throws InterruptedException {
        long target = queuedLines;
        long end = System.nanoTime() + bound.toNanos();
        long remainingMillis = bound.toMillis();
        while (writtenLines < target && remainingMillis > 0) {
            wait(remainingMillis);
            remainingMillis = (end - System.nanoTime()) / NANOS_PER_MILLI;
        }
        return writtenLines >= target;
    }

    private synchronized void count(int lines) {
        writtenLines += lines;
        notifyAll();
    }

    private void run() {
        List<String> lines = new ArrayList<>();
        while (true) {
            try {
                lines.add(queue.take());
                queue.drainTo(lines);
                // One write for all queued lines, because each write has a cost of its own.
                out.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
                out.flush();
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                // Standard output is closed, and there is no other place to report it.
                return;
            }
            count(lines.size());
            lines.clear();
        }
    }
}
