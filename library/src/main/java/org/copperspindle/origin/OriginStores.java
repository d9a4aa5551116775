package org.copperspindle.origin;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.disk.LogFile;
import org.copperspindle.time.TimerService;

/**
 * Creates the store of a node.
 */
public final class OriginStores {

    /** Name of the folder within the data folder of a node. */
    private static final String FOLDER = "origins";

    /** The store has at most one task of each kind in the ring. */
    private static final int RING_SLOTS = 16;

    private OriginStores() {}

    /**
     * Creates a store.
     *
     * @param dataFolder    data folder of the node; empty if it has no disk
     * @param timers        timers of the network thread
     * @param network       the network thread
     * @param lifetimeNanos supplies how long records are valid, in nanoseconds
     * @return the store
     */
    public static OriginStore open(
            Optional<Path> dataFolder, TimerService timers, Executor network, LongSupplier lifetimeNanos) {
        if (dataFolder.isEmpty()) {
            return new DisklessOriginStore();
        }
        OriginFiles files = new OriginFiles(dataFolder.get().resolve(FOLDER), LogFile::open);
        DecisionRing disk = new DecisionRing(FOLDER, RING_SLOTS);
        return new DiskOriginStore(files, disk, disk::close, network, timers, lifetimeNanos);
    }
}
