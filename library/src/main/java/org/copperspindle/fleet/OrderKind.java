package org.copperspindle.fleet;

/**
 * The operation that an order requests from an engine.
 */
public enum OrderKind {
    /** Load a model. */
    LOAD_MODEL,
    /** Unload a model and free its memory. */
    UNLOAD_MODEL,
    /** Load an adapter onto its base model. */
    LOAD_ADAPTER,
    /** Unload an adapter and free its memory. */
    UNLOAD_ADAPTER,
    /** Change the role of the engine, such as prefill or decode. */
    CHANGE_ROLE,
    /** Cancel a running request. */
    CANCEL;

    /**
     * Returns whether the order reads from the weight store.
     *
     * @return true for loads
     */
    public boolean loads() {
        return this == LOAD_MODEL || this == LOAD_ADAPTER;
    }

    /**
     * Returns whether the order takes a model or adapter out of service.
     *
     * @return true for unloads
     */
    public boolean unloads() {
        return this == UNLOAD_MODEL || this == UNLOAD_ADAPTER;
    }
}
