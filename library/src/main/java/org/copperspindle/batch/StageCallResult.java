package org.copperspindle.batch;

import java.util.List;

/**
 * How a call of a stage upstream ended.
 */
public sealed interface StageCallResult {

    /**
     * The upstream answered.
     *
     * @param outcomes one for each item, in their order
     */
    record Answered(List<PieceOutcome> outcomes) implements StageCallResult {}

    /**
     * The upstream did not take the call.
     *
     * @param reason why
     */
    record NotRun(String reason) implements StageCallResult {}

    /**
     * The call was lost; its pieces may have been made, and their results are forgotten by their maker after a while.
     *
     * @param reason what happened
     */
    record Lost(String reason) implements StageCallResult {}
}
