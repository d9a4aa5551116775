package org.copperspindle.pipeline;

/**
 * What an attempt's outcome means for its stage.
 */
sealed interface StageResult {

    /** The answer is whole and stands in the context. */
    record Whole() implements StageResult {}

    /**
     * The attempt is proven not run.
     *
     * @param reason the proof in short
     */
    record Refused(String reason) implements StageResult {}

    /**
     * The attempt may have run, and there is no whole answer.
     *
     * @param reason what was lost
     */
    record Lost(String reason) implements StageResult {}

    /**
     * The upstream answered that it failed.
     *
     * @param status its HTTP status
     */
    record Failed(int status) implements StageResult {}

    /** What was streamed is not a stream of the usual form; nothing can be built on it. */
    record Malformed() implements StageResult {}
}
