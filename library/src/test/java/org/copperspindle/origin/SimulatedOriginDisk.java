package org.copperspindle.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.copperspindle.time.TimerService;

/**
 * A disk in virtual time that outlives the processes that use it. A loss of power loses what was not synced.
 */
final class SimulatedOriginDisk {

    private static final Duration COLLECTION = Duration.ofMillis(50);
    private static final Duration SYNC = Duration.ofMillis(20);

    private final TimerService time;
    private final List<OriginRecord> written = new ArrayList<>();
    private int synced;
    private long processes;

    SimulatedOriginDisk(TimerService time) {
        this.time = time;
    }

    OriginStore open() {
        return new Store(++processes);
    }

    void endProcess() {
        processes++;
    }

    void losePower() {
        written.subList(synced, written.size()).clear();
    }

    void clear() {
        written.clear();
        synced = 0;
    }

    /** The store of one process. */
    private final class Store implements OriginStore {
        private final long process;

        private Store(long process) {
            this.process = process;
        }

        @Override
        public void read(Consumer<StoredOrigins> listener) {
            listener.accept(new StoredOrigins(written, OriginFleet.LIFETIME.toNanos()));
        }

        @Override
        public void add(List<OriginRecord> records) {
            time.schedule(COLLECTION.toNanos(), () -> write(records));
        }

        @Override
        public void flush(Runnable done) {
            done.run();
        }

        @Override
        public Optional<OriginStoreStatus> status() {
            return Optional.of(new OriginStoreStatus(synced, 0, 0));
        }

        @Override
        public void close() {
            endProcess();
        }

        private void write(List<OriginRecord> records) {
            if (process != processes) {
                return;
            }
            written.addAll(records);
            int end = written.size();
            time.schedule(SYNC.toNanos(), () -> sync(end));
        }

        private void sync(int end) {
            if (process == processes) {
                synced = Math.max(synced, end);
            }
        }
    }
}
