package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The backoff in a response: how long the upstream asks this node to send nothing.
 */
public sealed interface BackoffSignal {

    /** A response that requests no backoff. */
    BackoffSignal ABSENT = new Absent();

    /**
     * Parses the values of the backoff field. Of several values the longest counts. A value that is not a decimal
     * number is ignored.
     *
     * @param values all values of the field in seconds, none if the response lacks it
     * @return the parsed signal
     */
    static BackoffSignal of(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        OptionalDouble seconds = FieldNumber.readable(values).max();
        return seconds.isPresent() ? Asked.of(seconds.getAsDouble()) : new Unreadable(values.get(0));
    }

    /** The response requests no backoff. */
    record Absent() implements BackoffSignal {}

    /**
     * The upstream refused a request and asks this node to back off.
     *
     * @param duration length of the backoff
     */
    record Asked(Duration duration) implements BackoffSignal {
        /** Upper bound: an upstream that needs longer leaves or restarts. */
        private static final Duration MAX_DURATION = Duration.ofHours(1);

        private static final double NANOS_PER_SECOND = 1e9;

        private static Asked of(double seconds) {
            double maxSeconds = MAX_DURATION.toSeconds();
            return new Asked(Duration.ofNanos((long) (Math.min(maxSeconds, seconds) * NANOS_PER_SECOND)));
        }
    }

    /**
     * The field contains no number.
     *
     * @param text its value
     */
    record Unreadable(String text) implements BackoffSignal {
        /** Truncates long values. */
        public Unreadable {
            text = FieldNumber.shortened(text);
        }
    }
}
