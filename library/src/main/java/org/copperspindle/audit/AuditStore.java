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
 * Writes and reads the files of the audit trail on a separate thread, so that the decision ring never waits for the
 * disk. The replicated log provides durability: the files only have to catch up with it, and are synced once the write
 * queue is empty.
 */
public final class AuditStore implements AuditSink, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AuditStore.class);

    /**
     * Maximum length of a file. A page reads only the files that hold its records, each from the start, so its cost
     * does not grow with the trail.
     */
    private static final long MAX_FILE_BYTES = 4 << 20;

    private static final int CLOSE_TIMEOUT_SECONDS = 10;

    private final AuditWriter writer;
    private final AuditFolder files;
    private final ThreadPoolExecutor diskExecutor;
    private volatile long durable;
    private boolean writeFailed;

    /**
     * Opens the store.
     *
     * @param folder directory of the files
     * @throws IOException if the directory can't be used
     */
    public AuditStore(Path folder) throws IOException {
        this(folder, MAX_FILE_BYTES);
    }

    AuditStore(Path folder, long maxFileBytes) throws IOException {
        this.writer = new AuditWriter(folder, maxFileBytes);
        this.files = new AuditFolder(folder);
        this.durable = writer.head().number();
        this.diskExecutor = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
            Thread thread = new Thread(task, "audit-disk");
            thread.setDaemon(true);
            return thread;
        });
    }

    @Override
    public void append(AuditRecord record) {
        diskExecutor.execute(() -> write(record));
    }

    @Override
    public long durable() {
        return durable;
    }

    /**
     * Reads one page, once all records appended so far are written.
     *
     * @param after    number of the last record that the reader already has
     * @param limit    maximum number of records to return
     * @param callback receives the records on the disk thread; empty if the files can't be read
     */
    public void page(long after, int limit, Consumer<List<AuditRecord>> callback) {
        diskExecutor.execute(() -> {
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
        diskExecutor.shutdown();
        try {
            if (!diskExecutor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
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
        if (writeFailed) {
            // Writing later records would leave a gap. They are recreated from the log after a restart.
            return;
        }
        try {
            writer.append(record);
            if (diskExecutor.getQueue().isEmpty()) {
                writer.force();
                durable = writer.head().number();
            }
        } catch (IOException e) {
            writeFailed = true;
            LOGGER.error("event=audit-write-failed number={} reason=\"{}\"", record.number(), e.getMessage());
        }
    }
}
