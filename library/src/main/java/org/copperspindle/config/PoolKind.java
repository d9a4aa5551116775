package org.copperspindle.config;

/**
 * What the upstreams of a pool do, and so which interface they are met by.
 */
public enum PoolKind {
    /** Text to embedding. */
    ENCODER,
    /** Embedding to documents. */
    RETRIEVER,
    /** Documents to fewer, better ordered documents. */
    RERANKER,
    /** Prompt to generated tokens. */
    ENGINE,
    /** Plain HTTP service, passed through. */
    SERVICE
}
