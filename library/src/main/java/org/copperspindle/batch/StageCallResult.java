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
     * @param reason         what happened
     * @param connectionLost true if its connection ended after it was sent, as when the upstream ends; false if no whole
     *                       answer came in time or over it
     */
    record Lost(String reason, boolean connectionLost) implements StageCallResult {}
}
