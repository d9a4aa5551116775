package org.copperspindle.pipeline;

import org.copperspindle.config.PoolKind;

/**
 * Provides the handler of each kind of upstream. Handlers are stateless.
 */
public final class StageHandlerFactory {

    private static final StageHandler ENCODER = new EncoderStageHandler();
    private static final StageHandler RETRIEVER = new RetrieverStageHandler();
    private static final StageHandler RERANKER = new RerankerStageHandler();
    private static final StageHandler ENGINE = new EngineStageHandler();
    private static final StageHandler SERVICE = new ServiceStageHandler();

    private StageHandlerFactory() {}

    /**
     * Returns the handler of a kind.
     *
     * @param kind kind of the stage's pool
     * @return its handler
     */
    public static StageHandler of(PoolKind kind) {
        return switch (kind) {
            case ENCODER -> ENCODER;
            case RETRIEVER -> RETRIEVER;
            case RERANKER -> RERANKER;
            case ENGINE -> ENGINE;
            case SERVICE -> SERVICE;
        };
    }
}
