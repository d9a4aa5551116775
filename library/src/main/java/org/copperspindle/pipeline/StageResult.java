package org.copperspindle.pipeline;

/**
 * The meaning of an attempt's outcome for its stage.
 */
sealed interface StageResult {

    /** The answer is complete and stored in the context. */
    record Whole() implements StageResult {}

    /**
     * The attempt is proven not run.
     *
     * @param reason short name of the proof
     */
    record Refused(String reason) implements StageResult {}

    /**
     * The attempt may have run, and there is no complete answer.
     *
     * @param reason what was lost
     */
    record Lost(String reason) implements StageResult {}

    /**
     * The upstream responded with an error.
     *
     * @param status its HTTP status
     */
    record Failed(int status) implements StageResult {}

    /** The streamed data does not have the expected format and cannot be continued. */
    record Malformed() implements StageResult {}
}
