package org.copperspindle.memory;

/**
 * The memory budget of a process for the requests and responses of its callers. Bytes of requests are admitted before
 * they are held, as {@link RequestAdmissionPolicy} decides. Bytes of responses are always held, because they have arrived
 * already; other responses may be broken off for them, as {@link SheddingPolicy} decides. Thread-safe.
 */
public interface HeldMemory {

    /** Requests up to this size, in bytes, have a part of the budget of their own: most requests are that small. */
    int LARGE_REQUEST_BYTES = 64 << 10;

    /**
     * Adds a holder without bytes.
     *
     * @return the holder; must be closed with {@link #close}
     */
    MemoryHolder open();

    /**
     * Reserves bytes of an arriving request, before they are held. Other arriving requests may be rejected for them
     * before this returns.
     *
     * @param holder the holder
     * @param kind   what the bytes are
     * @param bytes  number of bytes
     * @return false if there is no room: nothing was reserved, and the request must be rejected
     */
    boolean tryReserve(MemoryHolder holder, HeldKind kind, long bytes);

    /**
     * Reserves bytes. If that makes memory short, responses are broken off before this returns, possibly the
     * holder's own.
     *
     * @param holder the holder
     * @param kind   what the bytes are
     * @param bytes  number of bytes
     */
    void reserve(MemoryHolder holder, HeldKind kind, long bytes);

    /**
     * Releases bytes; does nothing once the holder is closed.
     *
     * @param holder the holder
     * @param kind   what the bytes are
     * @param bytes  number of bytes
     */
    void release(MemoryHolder holder, HeldKind kind, long bytes);

    /**
     * Records that the caller has read a part of its response.
     *
     * @param holder holder of the response
     */
    void recordRead(MemoryHolder holder);

    /**
     * Records that bytes of an arriving request were received.
     *
     * @param holder holder of the request
     */
    void recordArrival(MemoryHolder holder);

    /**
     * Removes a holder and releases the bytes that it still has. Closing it again does nothing.
     *
     * @param holder the holder
     */
    void close(MemoryHolder holder);

    /**
     * Returns the size of the budget.
     *
     * @return bytes
     */
    long budgetBytes();

    /**
     * Returns how much is held now.
     *
     * @return bytes
     */
    long heldBytes();

    /**
     * Returns the most that was ever held.
     *
     * @return bytes
     */
    long peakBytes();

    /**
     * Returns the used share of the budget.
     *
     * @return 1 if the budget is full; more if it is exceeded
     */
    double pressure();

    /**
     * Returns how many arriving requests were rejected to make room for others, or for lack of room.
     *
     * @return a count
     */
    long rejectedRequests();

    /**
     * Returns how many responses were broken off because memory was short.
     *
     * @return a count
     */
    long shedResponses();
}
