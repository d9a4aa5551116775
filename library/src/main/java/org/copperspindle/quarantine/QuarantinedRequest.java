package org.copperspindle.quarantine;

import java.util.List;

/**
 * A quarantined request or prompt part, as shown to operators.
 *
 * @param digest          identifies it
 * @param part            id of the prompt part; empty for a whole request
 * @param route           its route
 * @param account         its client account, empty for callers without one
 * @param upstreams       some of the upstreams that terminated while running it
 * @param sinceMillis     time since the last of them terminated
 * @param remainingMillis remaining quarantine time
 */
public record QuarantinedRequest(
        String digest,
        String part,
        String route,
        String account,
        List<String> upstreams,
        long sinceMillis,
        long remainingMillis) {

    /**
     * Returns whether a part of prompts is quarantined.
     *
     * @return false for a whole request
     */
    public boolean isPromptPart() {
        return !part.isEmpty();
    }

    static QuarantinedRequest of(Suspicion suspicion) {
        return new QuarantinedRequest(
                suspicion.digest().text(),
                suspicion.part(),
                suspicion.route(),
                suspicion.account(),
                suspicion.upstreams(),
                suspicion.ageMillis(),
                QuarantinePolicy.remainingQuarantine(suspicion).toMillis());
    }
}
