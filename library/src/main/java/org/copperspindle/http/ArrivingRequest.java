package org.copperspindle.http;

import java.util.Optional;

import org.copperspindle.memory.HeldKind;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.memory.MemoryHolder;

/**
 * Reserves the memory of the request that is arriving on one connection. Used on the connection's network thread only.
 */
final class ArrivingRequest {

    private final HeldMemory memory;
    private final Rejection rejection;
    private Optional<MemoryHolder> holder = Optional.empty();
    private long undecodedBytes;
    private long headBytes;
    private long bodyBytes;

    /**
     * Creates a connection's first request.
     *
     * @param memory    memory of the process
     * @param rejection called when the request is rejected to make room for others
     */
    ArrivingRequest(HeldMemory memory, Rejection rejection) {
        this.memory = memory;
        this.rejection = rejection;
    }

    /** Sets how many bytes are kept undecoded; returns false if there is no room for them. */
    boolean reserveUndecoded(long bytes) {
        boolean reserved = resize(HeldKind.REQUEST_HEAD, bytes - undecodedBytes);
        undecodedBytes = reserved ? bytes : undecodedBytes;
        return reserved;
    }

    /** Sets what the head takes once it is decoded; returns false if there is no room for it. */
    boolean reserveHead(long bytes) {
        boolean reserved = resize(HeldKind.REQUEST_HEAD, bytes - headBytes);
        headBytes = reserved ? bytes : headBytes;
        return reserved;
    }

    /** Sets how many bytes the body takes; returns false if there is no room for them. */
    boolean reserveBody(long bytes) {
        boolean reserved = resize(HeldKind.REQUEST_BODY, bytes - bodyBytes);
        bodyBytes = reserved ? bytes : bodyBytes;
        return reserved;
    }

    /** Records that bytes have arrived. */
    void recordArrival() {
        holder.ifPresent(memory::recordArrival);
    }

    /** Returns whether a holder is that of this request. */
    boolean isHeldBy(MemoryHolder other) {
        return holder.filter(h -> h == other).isPresent();
    }

    /**
     * Ends the arrival: the request is complete. Bytes that are kept undecoded belong to the next one.
     *
     * @return the holder of its memory, to be closed by whoever handles the request
     */
    MemoryHolder complete() {
        MemoryHolder complete = open();
        memory.release(complete, HeldKind.REQUEST_HEAD, undecodedBytes);
        long rest = undecodedBytes;
        forget();
        undecodedBytes = rest;
        if (rest > 0) {
            // These bytes are held already, and the room for them has just become free.
            memory.reserve(open(), HeldKind.REQUEST_HEAD, rest);
        }
        return complete;
    }

    /** Releases everything. */
    void discard() {
        holder.ifPresent(memory::close);
        forget();
    }

    private boolean resize(HeldKind kind, long more) {
        if (more > 0) {
            return memory.tryReserve(open(), kind, more);
        }
        if (more < 0) {
            memory.release(open(), kind, -more);
        }
        return true;
    }

    private MemoryHolder open() {
        if (holder.isEmpty()) {
            MemoryHolder opened = memory.open();
            opened.startArrival(() -> rejection.reject(opened));
            holder = Optional.of(opened);
        }
        return holder.get();
    }

    private void forget() {
        holder = Optional.empty();
        undecodedBytes = 0;
        headBytes = 0;
        bodyBytes = 0;
    }

    /** Rejects a request that has not been passed on to be handled. */
    @FunctionalInterface
    interface Rejection {
        /**
         * Rejects it. May be called from any thread.
         *
         * @param holder holder of its memory
         */
        void reject(MemoryHolder holder);
    }
}
