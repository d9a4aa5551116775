package org.copperspindle.consensus;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the disk thread. It takes all waiting requests, writes them, syncs once and reports the last one. After a
 * failure it stops: what a failed sync left on the disk is unknown, and a later sync that succeeds proves nothing.
 */
final class DiskWorker implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(DiskWorker.class);
    private static final long CLOSE_MILLIS = 10_000;

    private final MemberFolder folder;
    private final LongConsumer onPersisted;
    private final Consumer<Exception> onFailure;
    private final BlockingQueue<RaftAction.Persist> queue = new LinkedBlockingQueue<>();
    private final Thread thread;
    private volatile boolean closing;

    /**
     * Starts the thread.
     *
     * @param name        name of the member
     * @param folder      its folder, recovered
     * @param onPersisted called on the disk thread with the sequence of the last synced request
     * @param onFailure   called once, on the disk thread, if the disk fails
     */
    DiskWorker(String name, MemberFolder folder, LongConsumer onPersisted, Consumer<Exception> onFailure) {
        this.folder = folder;
        this.onPersisted = onPersisted;
        this.onFailure = onFailure;
        this.thread = new Thread(this::run, "disk-" + name);
        this.thread.setDaemon(true);
        this.thread.start();
    }

    /** Adds a request; the core bounds how many are pending. */
    void add(RaftAction.Persist request) {
        queue.add(request);
    }

    @Override
    public void close() {
        closing = true;
        // Wakes the thread without an interrupt, which would close the file in the middle of a write.
        queue.add(new RaftAction.Persist(0, null));
        try {
            thread.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (!closing) {
                executeBatch();
            }
        } catch (IOException | RuntimeException e) {
            onFailure.accept(e);
        } catch (InterruptedException e) {
            LOGGER.warn("event=disk-thread-interrupted");
        } finally {
            closeFolder();
        }
    }

    private void executeBatch() throws IOException, InterruptedException {
        List<RaftAction.Persist> batch = new ArrayList<>();
        batch.add(queue.take());
        queue.drainTo(batch);
        batch.removeIf(p -> p.request() == null);
        if (closing || batch.isEmpty()) {
            return;
        }
        folder.execute(batch.stream().map(RaftAction.Persist::request).toList());
        onPersisted.accept(batch.get(batch.size() - 1).sequence());
    }

    private void closeFolder() {
        try {
            folder.close();
        } catch (IOException e) {
            LOGGER.warn("event=folder-close-failed reason=\"{}\"", e.toString());
        }
    }
}
