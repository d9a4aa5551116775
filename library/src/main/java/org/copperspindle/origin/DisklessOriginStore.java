package org.copperspindle.origin;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The store of a node without a disk.
 */
final class DisklessOriginStore implements OriginStore {

    @Override
    public void read(Consumer<StoredOrigins> listener) {
        // Nothing is stored.
    }

    @Override
    public void add(List<OriginRecord> records) {
        // Nothing is stored.
    }

    @Override
    public void flush(Runnable done) {
        done.run();
    }

    @Override
    public Optional<OriginStoreStatus> status() {
        return Optional.empty();
    }

    @Override
    public void close() {
        // Nothing is open.
    }
}
