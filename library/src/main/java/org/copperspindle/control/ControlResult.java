package org.copperspindle.control;

import org.copperspindle.claims.ClaimDecision;

/**
 * What the replicated state answers to one command.
 */
public sealed interface ControlResult {

    /** The command changed the state, or had changed it before and did nothing now. */
    record Done() implements ControlResult {}

    /**
     * A configuration was accepted.
     *
     * @param version its version
     */
    record ConfigAccepted(long version) implements ControlResult {}

    /**
     * A configuration was refused.
     *
     * @param currentVersion version that stands in its way
     * @param operator       who made that version, empty if nobody did
     * @param reason         why, for the operator
     */
    record ConfigRefused(long currentVersion, String operator, String reason) implements ControlResult {}

    /**
     * A configuration was not taken, and whether it was accepted long ago is no longer known.
     *
     * @param oldestVersion oldest version whose change is still known
     */
    record ConfigExpired(long oldestVersion) implements ControlResult {}

    /**
     * A claim was decided.
     *
     * @param decision the decision and the attempt that holds the claim
     */
    record Claimed(ClaimDecision decision) implements ControlResult {}
}
