package org.copperspindle.claims;

/**
 * The decision on a claim.
 *
 * @param result           what was decided
 * @param attemptId        attempt that holds the key, empty if none does
 * @param upstreamId       upstream of that attempt
 * @param agentIncarnation life of that upstream's agent when the claim was made
 * @param clockMicros      reading of that life's clock from before the attempt was dispatched, 0 if none was known
 * @param ended            whether that attempt is settled as having run, or maybe run: it can't be released any more
 */
public record ClaimDecision(
        ClaimResult result,
        String attemptId,
        String upstreamId,
        long agentIncarnation,
        long clockMicros,
        boolean ended) {

    /**
     * Makes a decision that names no attempt.
     *
     * @param result what was decided
     * @return the decision
     */
    public static ClaimDecision of(ClaimResult result) {
        return new ClaimDecision(result, "", "", 0, 0, false);
    }
}
