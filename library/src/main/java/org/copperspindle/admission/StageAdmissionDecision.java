package org.copperspindle.admission;

import java.util.Optional;

/**
 * A decision of {@link StageAdmission} with the values that it is based on.
 *
 * @param verdict              the decision
 * @param estimatedMillis      estimated time from now to the first event
 * @param remainingMillis      time left to the objective; negative if it has passed
 * @param deferredCount        requests that this node defers at present
 * @param estimatedStagesNanos estimated duration of the stages by the pool loads alone, without the learned
 *     correction
 * @param underservedRoute     route of a more urgent request kind that needs the capacity; empty if none does
 */
public record StageAdmissionDecision(
        StageAdmissionVerdict verdict,
        long estimatedMillis,
        long remainingMillis,
        int deferredCount,
        long estimatedStagesNanos,
        Optional<String> underservedRoute) {}
