package org.copperspindle.backpressure;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The request rate limit in a response: the requests per second that the upstream accepts from all nodes together.
 */
public sealed interface LimitSignal {

    /** A response without a limit. */
    LimitSignal ABSENT = new Absent();

    /**
     * Parses the values of the limit field. Of several values the lowest counts, since any of them may be the rate
     * that the upstream can sustain. A value that is not a decimal number is ignored: it neither sets nor removes a
     * limit.
     *
     * @param values all values of the field, none if the response lacks it
     * @return the parsed signal
     */
    static LimitSignal of(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        OptionalDouble perSecond = FieldNumber.readable(values).min();
        return perSecond.isPresent()
                ? new Named(Math.min(Named.MAX_PER_SECOND, perSecond.getAsDouble()))
                : new Unreadable(values.get(0));
    }

    /** The response has no limit field. */
    record Absent() implements LimitSignal {}

    /**
     * The upstream announces a limit.
     *
     * @param perSecond requests per second, zero or more
     */
    record Named(double perSecond) implements LimitSignal {
        /** Upper bound; larger limits are equivalent to none. */
        private static final double MAX_PER_SECOND = 1e6;
    }

    /**
     * The field contains no number.
     *
     * @param text its value
     */
    record Unreadable(String text) implements LimitSignal {
        /** Truncates long values. */
        public Unreadable {
            text = FieldNumber.shortened(text);
        }
    }
}
