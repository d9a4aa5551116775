package org.copperspindle.batch;

import java.util.List;

/**
 * The result of a call to a stage upstream.
 */
public sealed interface StageCallResult {

    /**
     * The upstream answered.
     *
     * @param outcomes one for each item, in their order
     */
    record Answered(List<PieceOutcome> outcomes) implements StageCallResult {}

    /**
     * The upstream refused the call; none of its pieces ran.
     *
     * @param reason why
     */
    record NotRun(String reason) implements StageCallResult {}

    /**
     * The call was lost. Its pieces may have run; their results expire at the upstream after a while.
     *
     * @param reason         what happened
     * @param connectionLost true if the connection was closed after the call was sent, as when the upstream crashes;
     *                       false if no complete response arrived in time
     */
    record Lost(String reason, boolean connectionLost) implements StageCallResult {}

    /**
     * This node broke off the call for a reason of its own, which says nothing about the upstream. Its pieces may have run.
     *
     * @param reason what happened
     */
    record BrokenOff(String reason) implements StageCallResult {}
}
