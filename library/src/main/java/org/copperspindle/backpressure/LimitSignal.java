package org.copperspindle.backpressure;

import java.util.List;
import java.util.OptionalDouble;

/**
 * What one answer says of the requests a second that its upstream takes from all nodes together.
 */
public sealed interface LimitSignal {

    /** An answer without a limit. */
    LimitSignal ABSENT = new Absent();

    /**
     * Reads the values of the field that holds the limit. Of several the lowest counts, since any of them may be what the upstream
     * bears. A value that is no decimal number says nothing: neither that there is a limit nor that there is none.
     *
     * @param values all values of the field, none if the answer lacks it
     * @return what they say
     */
    static LimitSignal of(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        OptionalDouble perSecond = FieldNumber.readable(values).min();
        return perSecond.isPresent()
                ? new Named(Math.min(Named.MOST, perSecond.getAsDouble()))
                : new Unreadable(values.get(0));
    }

    /** The answer has no such field. */
    record Absent() implements LimitSignal {}

    /**
     * The upstream names a limit.
     *
     * @param perSecond requests a second, zero or more
     */
    record Named(double perSecond) implements LimitSignal {
        /** No upstream gets more; larger limits are as good as none. */
        private static final double MOST = 1e6;
    }

    /**
     * The field holds no number.
     *
     * @param text what it holds
     */
    record Unreadable(String text) implements LimitSignal {
        /** Cuts long texts off. */
        public Unreadable {
            text = FieldNumber.shortened(text);
        }
    }
}
