package org.copperspindle.audit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The trail's files, written and read on a thread of their own so that the decision ring never waits for the disk. The
 * log is what makes records survive; the files only have to catch up with it, and are synced once the queue is empty.
 */
public final class AuditStore implements AuditSink, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AuditStore.class);

    /** A page reads one file at most twice over, so its cost does not grow with the trail. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    private static final int CLOSE_SECONDS = 10;

    private final AuditWriter writer;
    private final AuditFolder files;
    private final ThreadPoolExecutor disk;
    private volatile long durable;
    private boolean failing;

    /**
     * Opens the store.
     *
     * @param folder folder of the files
     * @throws IOException if the folder can't be used
     */
    public AuditStore(Path folder) throws IOException {
        this(folder, MAX_FILE_BYTES);
    }

    AuditStore(Path folder, long maxFileBytes) throws IOException {
        this.writer = new AuditWriter(folder, maxFileBytes);
        this.files = new AuditFolder(folder);
        this.durable = writer.head().number();
        this.disk = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
            Thread thread = new Thread(task, "audit-disk");
            thread.setDaemon(true);
            return thread;
        });
    }

    @Override
    public void append(AuditRecord record) {
        disk.execute(() -> write(record));
    }

    @Override
    public long durable() {
        return durable;
    }

    /**
     * Reads one page, after every record taken so far is written.
     *
     * @param after    number of the last record that the reader has
     * @param limit    most records to return
     * @param callback given the records, on the disk thread; empty if the files can't be read
     */
    public void page(long after, int limit, Consumer<List<AuditRecord>> callback) {
        disk.execute(() -> {
            try {
                callback.accept(files.page(after, limit));
            } catch (IOException e) {
                LOGGER.error("event=audit-read-failed reason=\"{}\"", e.getMessage());
                callback.accept(List.of());
            }
        });
    }

    @Override
    public void close() {
        disk.shutdown();
        try {
            if (!disk.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)) {
                LOGGER.error("event=audit-close-timeout");
                return;
            }
            writer.close();
        } catch (IOException e) {
            LOGGER.error("event=audit-write-failed reason=\"{}\"", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(AuditRecord record) {
        if (failing) {
            // Later records would follow a hole. They are made again from the log after a restart.
            return;
        }
        try {
            writer.append(record);
            if (disk.getQueue().isEmpty()) {
                writer.force();
                durable = writer.head().number();
            }
        } catch (IOException e) {
            failing = true;
            LOGGER.error("event=audit-write-failed number={} reason=\"{}\"", record.number(), e.getMessage());
        }
    }
}
