package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;

/**
 * What one answer says of the time in which its upstream wants nothing from the node that it answers.
 */
public sealed interface BackoffSignal {

    /** An answer that asks for nothing. */
    BackoffSignal ABSENT = new Absent();

    /**
     * Reads the values of the field that holds the time. Of several the longest counts. A value that is no decimal number asks for
     * nothing.
     *
     * @param values all values of the field in seconds, none if the answer lacks it
     * @return what they say
     */
    static BackoffSignal of(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        OptionalDouble seconds = FieldNumber.readable(values).max();
        return seconds.isPresent() ? Asked.of(seconds.getAsDouble()) : new Unreadable(values.get(0));
    }

    /** The answer asks for nothing. */
    record Absent() implements BackoffSignal {}

    /**
     * The upstream turns a request away and wants no other from this node for a while.
     *
     * @param rest for how long
     */
    record Asked(Duration rest) implements BackoffSignal {
        /** An upstream that wants nothing for longer has left or starts anew. */
        private static final Duration LONGEST = Duration.ofHours(1);

        private static final double NANOS_PER_SECOND = 1e9;

        private static Asked of(double seconds) {
            double most = LONGEST.toSeconds();
            return new Asked(Duration.ofNanos((long) (Math.min(most, seconds) * NANOS_PER_SECOND)));
        }
    }

    /**
     * The field holds no number.
     *
     * @param text what it holds
     */
    record Unreadable(String text) implements BackoffSignal {
        /** Cuts long texts off. */
        public Unreadable {
            text = FieldNumber.shortened(text);
        }
    }
}
