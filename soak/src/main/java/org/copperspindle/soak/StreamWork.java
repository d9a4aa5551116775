package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Which engines work on which stream and when, as the engines see it. A node closes the connection to the first engine
 * before it asks a second one, so the two must not be at work at once.
 */
final class StreamWork {

    /** An engine looks this late at most whether its connection is closed, on a busy machine. */
    private static final long OVERLAP_MILLIS = 500;

    private final Map<String, List<Span>> streams = new ConcurrentHashMap<>();

    /** An engine begins to work on the stream of a request. */
    Span begins(String id, String engine, long now) {
        Span span = new Span(engine, now);
        streams.computeIfAbsent(id, i -> new CopyOnWriteArrayList<>()).add(span);
        return span;
    }

    /** Returns how many streams more than one engine has worked on. */
    long resumed() {
        return streams.values().stream().filter(spans -> spans.size() > 1).count();
    }

    /** Returns the streams that two engines worked on at once. */
    List<String> overlaps() {
        List<String> overlaps = new ArrayList<>();
        streams.forEach((id, spans) -> {
            for (int second = 1; second < spans.size(); second++) {
                for (Span first : spans.subList(0, second)) {
                    if (first.endedAt - spans.get(second).beganAt > OVERLAP_MILLIS) {
                        overlaps.add("engines: " + id + " was at work at " + first + " and " + spans.get(second));
                    }
                }
            }
        });
        return overlaps;
    }

    /** Work of one engine on one stream; times in milliseconds. */
    static final class Span {
        private final String engine;
        private final long beganAt;
        private volatile long endedAt = Long.MAX_VALUE;

        private Span(String engine, long beganAt) {
            this.engine = engine;
            this.beganAt = beganAt;
        }

        /** The engine has sent all of it, has broken it off, or has lost its connection. */
        void ends(long now) {
            endedAt = now;
        }

        @Override
        public String toString() {
            return engine + " from " + beganAt + " to " + (endedAt == Long.MAX_VALUE ? "the end" : endedAt);
        }
    }
}
