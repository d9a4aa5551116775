package org.copperspindle.replay;

import java.util.List;
import java.util.Optional;

import org.copperspindle.config.Priority;

/**
 * An expected outcome of a trace, checked after the replay.
 *
 * @param measure  the measure that is limited
 * @param priority only requests of this priority, empty for all
 * @param pipeline only requests of this pipeline, empty for all
 * @param accounts only requests of these client accounts, empty for all
 * @param atLeast  lower bound
 * @param atMost   upper bound
 */
public record TraceOutcome(
        OutcomeMeasure measure,
        Optional<Priority> priority,
        String pipeline,
        List<String> accounts,
        Optional<Double> atLeast,
        Optional<Double> atMost) {

    /**
     * Returns the label of the outcome in reports.
     *
     * @return for example {@code attainment priority=interactive at least 0.99}
     */
    public String label() {
        StringBuilder text = new StringBuilder(measure.name().toLowerCase(java.util.Locale.ROOT));
        priority.ifPresent(p -> text.append(" priority=").append(p.name().toLowerCase(java.util.Locale.ROOT)));
        if (!pipeline.isEmpty()) {
            text.append(" pipeline=").append(pipeline);
        }
        if (!accounts.isEmpty()) {
            text.append(" accounts=").append(String.join("+", accounts));
        }
        atLeast.ifPresent(bound -> text.append(" at least ").append(bound));
        atMost.ifPresent(bound -> text.append(" at most ").append(bound));
        return text.toString();
    }

    /**
     * Returns whether a value is within the bounds.
     *
     * @param value measured value
     * @return false if the outcome was not met
     */
    public boolean met(double value) {
        return value >= atLeast.orElse(Double.NEGATIVE_INFINITY) && value <= atMost.orElse(Double.POSITIVE_INFINITY);
    }
}
