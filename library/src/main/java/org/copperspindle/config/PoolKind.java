package org.copperspindle.config;

/**
 * The function of the upstreams of a pool, which determines the interface used to call them.
 */
public enum PoolKind {
    /** Computes the embedding of a text. */
    ENCODER,
    /** Retrieves documents for an embedding. */
    RETRIEVER,
    /** Reranks documents and returns the best of them. */
    RERANKER,
    /** Generates tokens from a prompt. */
    ENGINE,
    /** Plain HTTP service; requests are passed through. */
    SERVICE
}
