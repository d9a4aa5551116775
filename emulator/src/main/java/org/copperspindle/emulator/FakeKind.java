package org.copperspindle.emulator;

/**
 * Which usual interface a fake upstream answers by.
 */
public enum FakeKind {
    /** {@code POST /v1/embeddings}. */
    ENCODER,
    /** {@code POST /retrieve}. */
    RETRIEVER,
    /** {@code POST /rerank}. */
    RERANKER,
    /** {@code POST /v1/completions}, streamed on request. */
    ENGINE,
    /** Any path; answers with what it was sent. */
    SERVICE
}
