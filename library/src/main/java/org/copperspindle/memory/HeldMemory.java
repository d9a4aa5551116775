package org.copperspindle.memory;

/**
 * The memory budget of a node for request bodies, buffered responses and unsent responses. A reservation is never
 * refused, because the bytes have arrived already; it may break off responses instead, as {@link SheddingPolicy}
 * decides. Thread-safe.
 */
public interface HeldMemory {

    /** Bodies up to this size, in bytes, are read even while the budget is full: most requests have such bodies. */
    int LARGE_BODY_BYTES = 64 << 10;

    /**
     * Adds a holder without bytes.
     *
     * @return the holder; must be closed with {@link #close}
     */
    MemoryHolder open();

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
     * Removes a holder and releases the bytes that it still has. Closing it again does nothing.
     *
     * @param holder the holder
     */
    void close(MemoryHolder holder);

    /**
     * Returns whether a request body may be read.
     *
     * @param bytes its size as far as known
     * @return false if it is large and the budget is full
     */
    boolean mayReadBody(long bytes);

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
     * Returns how many responses were broken off because memory was short.
     *
     * @return a count
     */
    long shedResponses();
}
