package org.copperspindle.control;

import org.copperspindle.claims.ClaimDecision;

/**
 * Result of one command on the replicated state.
 */
public sealed interface ControlResult {

    /** The command changed the state, or had changed it before and had no effect now. */
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
     * @param currentVersion conflicting version
     * @param operator       operator who made that version, empty if there is none
     * @param reason         reason for the refusal, for the operator
     */
    record ConfigRefused(long currentVersion, String operator, String reason) implements ControlResult {}

    /**
     * A configuration was not accepted; whether the same change was accepted long ago is no longer known.
     *
     * @param oldestVersion oldest version whose change is still known
     */
    record ConfigExpired(long oldestVersion) implements ControlResult {}

    /**
     * A claim was decided.
     *
     * @param decision the decision, and the attempt that holds the claim
     */
    record Claimed(ClaimDecision decision) implements ControlResult {}
}
