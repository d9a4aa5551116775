package org.copperspindle.claims;

/**
 * The decision on a claim.
 *
 * @param result           the decision
 * @param attemptId        attempt that holds the key, empty if there is none
 * @param upstreamId       upstream of that attempt
 * @param agentIncarnation incarnation of that upstream's agent when the claim was made
 * @param clockMicros      time on that incarnation's clock before the attempt was dispatched, 0 if unknown
 * @param ended            whether that attempt is settled as run or possibly run, so that it can no longer be
 *                         released
 */
public record ClaimDecision(
        ClaimResult result,
        String attemptId,
        String upstreamId,
        long agentIncarnation,
        long clockMicros,
        boolean ended) {

    /**
     * Creates a decision without an attempt.
     *
     * @param result the decision
     * @return the decision
     */
    public static ClaimDecision of(ClaimResult result) {
        return new ClaimDecision(result, "", "", 0, 0, false);
    }
}
