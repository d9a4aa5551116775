package org.copperspindle.fleet;

/**
 * What an order asks of an engine.
 */
public enum OrderKind {
    /** Load a model. */
    LOAD_MODEL,
    /** Give the memory of a model free. */
    UNLOAD_MODEL,
    /** Load an adapter onto its base model. */
    LOAD_ADAPTER,
    /** Give the memory of an adapter free. */
    UNLOAD_ADAPTER,
    /** Take another role, such as prefill or decode. */
    CHANGE_ROLE,
    /** Cancel a request that runs. */
    CANCEL;

    /**
     * Says whether the order reads from the weight store.
     *
     * @return true for loads
     */
    public boolean loads() {
        return this == LOAD_MODEL || this == LOAD_ADAPTER;
    }

    /**
     * Says whether the order takes something out of service.
     *
     * @return true for unloads
     */
    public boolean unloads() {
        return this == UNLOAD_MODEL || this == UNLOAD_ADAPTER;
    }
}
