package org.copperspindle.memory;

import java.util.Arrays;

/**
 * The bytes held for one request and its response. Thread-safe.
 */
public final class MemoryHolder {

    private static final HeldKind[] KINDS = HeldKind.values();

    private final long[] bytesByKind = new long[KINDS.length];
    private String id = "";
    private boolean repeatable;
    private boolean started;
    private boolean closed;
    private boolean arriving;
    private long arrivedAt;
    private long readAt;
    private Runnable breakOff = () -> {};

    MemoryHolder() {}

    /**
     * Sets what identifies the request, and whether it can be served again.
     *
     * @param requestId   id for log lines
     * @param canBeServed true if the caller may repeat the request or resume its stream
     */
    public synchronized void describe(String requestId, boolean canBeServed) {
        id = requestId;
        repeatable = canBeServed;
    }

    /**
     * Marks the request as arriving: it may be rejected for others, because nothing of it has run.
     *
     * @param reject rejects it; runs on the thread that reserves memory
     */
    public synchronized void startArrival(Runnable reject) {
        arriving = true;
        breakOff = reject;
    }

    /** Marks the request as passed on to be handled: from now on it is never rejected for others. */
    public synchronized void endArrival() {
        arriving = false;
    }

    /** Records that the response has started. */
    public synchronized void responseStarted() {
        started = true;
    }

    /**
     * Sets how the response is broken off. The action must not end it as if it were complete.
     *
     * @param action the action; runs on the thread that reserves memory
     */
    public synchronized void onBreakOff(Runnable action) {
        breakOff = action;
    }

    /**
     * Returns how many bytes are held.
     *
     * @return bytes of all kinds
     */
    public synchronized long bytes() {
        long sum = 0;
        for (long bytes : bytesByKind) {
            sum += bytes;
        }
        return sum;
    }

    synchronized String id() {
        return id;
    }

    void breakOff() {
        Runnable action;
        synchronized (this) {
            action = breakOff;
        }
        action.run();
    }

    /** Adds bytes and returns how many were added: none once the holder is closed. */
    synchronized long add(HeldKind kind, long bytes, long now) {
        if (closed) {
            return 0;
        }
        if (kind == HeldKind.UNSENT_RESPONSE && bytesByKind[kind.ordinal()] == 0) {
            // The caller had read everything until now.
            readAt = now;
        }
        if (kind.isRequest()) {
            arrivedAt = now;
        }
        bytesByKind[kind.ordinal()] += bytes;
        return bytes;
    }

    /** Removes bytes and returns how many were removed: none once the holder is closed. */
    synchronized long remove(HeldKind kind, long bytes) {
        long removed = Math.min(bytes, bytesByKind[kind.ordinal()]);
        bytesByKind[kind.ordinal()] -= removed;
        return removed;
    }

    /** Closes the holder. */
    synchronized void close() {
        closed = true;
        Arrays.fill(bytesByKind, 0);
    }

    /**
     * Returns whether the holder is closed: its response has ended, or was broken off because memory is short.
     *
     * @return true if nothing is counted any more
     */
    public synchronized boolean isClosed() {
        return closed;
    }

    /** Returns how many bytes of the request are held. */
    synchronized long requestBytes() {
        return bytesByKind[HeldKind.REQUEST_HEAD.ordinal()] + bytesByKind[HeldKind.REQUEST_BODY.ordinal()];
    }

    synchronized void arrivedAt(long now) {
        arrivedAt = now;
    }

    /** Returns what the admission of requests needs to know. */
    synchronized HeldRequest request(long now) {
        return new HeldRequest(this, requestBytes(), arriving, now - arrivedAt);
    }

    synchronized void readAt(long now) {
        readAt = now;
    }

    /** Returns what the policy needs to know. */
    synchronized HeldResponse response(long now) {
        long unsent = bytesByKind[HeldKind.UNSENT_RESPONSE.ordinal()];
        long responseBytes = unsent + bytesByKind[HeldKind.BUFFERED_RESPONSE.ordinal()];
        return new HeldResponse(this, bytes(), responseBytes, unsent == 0 ? 0 : now - readAt, repeatable, started);
    }
}
