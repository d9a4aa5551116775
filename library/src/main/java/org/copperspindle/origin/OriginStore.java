package org.copperspindle.origin;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Keeps records of stream origins over the end of the process. Used on the network thread, which never waits for it.
 */
public interface OriginStore extends AutoCloseable {

    /**
     * Reads what earlier processes stored. Called once, before the network is started.
     *
     * @param listener receives the contents of each file on the network thread, oldest first
     */
    void read(Consumer<StoredOrigins> listener);

    /**
     * Stores records soon. They are lost with a process that ends before that.
     *
     * @param records the records
     */
    void add(List<OriginRecord> records);

    /**
     * Stores at once what has been added.
     *
     * @param done run on the network thread when that is done or has failed, or after a bounded time
     */
    void flush(Runnable done);

    /**
     * Returns what has been stored since the start.
     *
     * @return empty if nothing is ever stored
     */
    Optional<OriginStoreStatus> status();

    /** Ends the use of the disk; what has been added but not stored is lost. */
    @Override
    void close();
}
