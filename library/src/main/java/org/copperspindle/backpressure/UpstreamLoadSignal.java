package org.copperspindle.backpressure;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.regex.Pattern;

/**
 * The load in a response: how many requests the upstream has, and how long work takes there now.
 */
public sealed interface UpstreamLoadSignal {

    /** A response that states no load. */
    UpstreamLoadSignal ABSENT = new Absent();

    /**
     * Parses the values of the load field: running requests, waiting requests, slots and, from some upstreams, the
     * pace, separated by commas, semicolons or spaces. Anything else is ignored, also several values at once, since
     * it is unknown which of them is true.
     *
     * @param values all values of the field, none if the response lacks it
     * @return the parsed signal
     */
    static UpstreamLoadSignal of(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        String text = values.get(0);
        if (values.size() > 1 || text.length() > Stated.MAX_TEXT_LENGTH) {
            return new Unreadable(text);
        }
        List<String> parts = Arrays.asList(Stated.SEPARATOR.split(text.trim(), -1));
        int[] figures = FieldNumber.readable(parts)
                .filter(figure -> figure <= Stated.MAX_FIGURE)
                .mapToInt(figure -> (int) Math.round(figure))
                .toArray();
        if (figures.length != parts.size()) {
            return new Unreadable(text);
        }
        return switch (figures.length) {
            case Stated.COUNTS -> new Stated(figures[0], figures[1], figures[2], OptionalInt.empty());
            case Stated.COUNTS + 1 ->
                new Stated(figures[0], figures[1], figures[2], OptionalInt.of(figures[Stated.COUNTS]));
            default -> new Unreadable(text);
        };
    }

    /** The response has no load field. */
    record Absent() implements UpstreamLoadSignal {}

    /**
     * The upstream states its load.
     *
     * @param running     requests that it runs
     * @param waiting     requests that wait there
     * @param slots       requests that it runs concurrently
     * @param pacePercent how long work takes there now, in percent of the usual time; empty if it does not say
     */
    record Stated(int running, int waiting, int slots, OptionalInt pacePercent) implements UpstreamLoadSignal {
        /** Upper bound of each figure; a larger one is an error of the upstream. */
        private static final int MAX_FIGURE = 1_000_000;

        /** Figures that each upstream states; the pace comes after them. */
        private static final int COUNTS = 3;

        /** Longer values are not parsed: four figures with their separators need less. */
        private static final int MAX_TEXT_LENGTH = 100;

        private static final Pattern SEPARATOR = Pattern.compile("\\s*[,;]\\s*|\\s+");
    }

    /**
     * The field contains something else.
     *
     * @param text its value
     */
    record Unreadable(String text) implements UpstreamLoadSignal {
        /** Truncates long values. */
        public Unreadable {
            text = FieldNumber.shortened(text);
        }
    }
}
