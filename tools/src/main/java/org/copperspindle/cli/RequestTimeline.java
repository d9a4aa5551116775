package org.copperspindle.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the logs of many processes tell of one request, in order: its own lines, and what was believed meanwhile of the
 * upstreams that it met and of the lease of the node that had it.
 */
final class RequestStory {

    /** Beliefs from so long before the request may have decided it. */
    private static final long CONTEXT_MILLIS = 10_000;

    private static final Set<String> NODE_EVENTS = Set.of(
            "lease-lost",
            "lease-held",
            "version-held",
            "leader-seen",
            "node-lost",
            "node-found",
            "dispatcher-lost",
            "suspension-noticed",
            "stopping",
            "started",
            "lines-dropped");

    private final List<LogLine> lines;

    private RequestStory(List<LogLine> lines) {
        this.lines = lines;
    }

    /** Puts the story of a request together. */
    static RequestStory of(String request, List<LogLine> all) {
        Map<String, List<LogLine>> own = new LinkedHashMap<>();
        for (LogLine line : all) {
            if (line.isAbout(request)) {
                own.computeIfAbsent(line.process(), p -> new ArrayList<>()).add(line);
            }
        }
        if (own.isEmpty()) {
            return new RequestStory(List.of());
        }
        List<LogLine> home = home(own);
        long begin = home.get(0).millis();
        long end = home.get(home.size() - 1).millis();
        // Other nodes run a request's stages, which are over before its first attempt.
        long stagesEnd = home.stream()
                .filter(line -> line.event().equals("attempt-sent"))
                .mapToLong(line -> line.millis() - 1)
                .findFirst()
                .orElse(end);
        Map<String, Long> shifts = new LinkedHashMap<>();
        own.forEach((process, told) -> shifts.put(process, told == home ? 0L : shift(told, begin, stagesEnd)));
        List<LogLine> story = new ArrayList<>();
        own.forEach((process, told) -> told.forEach(line -> story.add(line.shifted(shifts.get(process)))));
        addContext(story, all, home.get(0).process(), shifts, begin, end);
        story.sort(Comparator.comparingLong(LogLine::millis));
        return new RequestStory(story);
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Returns the story as text, with times from its first line. */
    List<String> print() {
        long first = lines.stream().mapToLong(LogLine::millis).min().orElse(0);
        return lines.stream()
                .map(line -> String.format("%+8d ms  %-20s %s", line.millis() - first, line.process(), line.text()))
                .toList();
    }

    /** Returns the lines of the node that had the request. */
    private static List<LogLine> home(Map<String, List<LogLine>> own) {
        return own.values().stream()
                .filter(told -> told.stream()
                        .anyMatch(line -> line.event().equals("request-admitted")
                                || line.event().equals("request-refused")
                                || line.event().equals("request-ended")))
                .findFirst()
                .orElse(own.values().iterator().next());
    }

    /**
     * Returns by how much another process's clock seems to be off: its part of the request lies between the request's
     * beginning and its end.
     */
    private static long shift(List<LogLine> told, long begin, long end) {
        long first = told.get(0).millis();
        long last = told.get(told.size() - 1).millis();
        if (first < begin) {
            return begin - first;
        }
        return last > end ? Math.min(0, Math.max(end - last, begin - first)) : 0;
    }

    private static void addContext(
            List<LogLine> story, List<LogLine> all, String home, Map<String, Long> shifts, long begin, long end) {
        Set<String> upstreams = new HashSet<>();
        story.forEach(line -> line.value("upstream").ifPresent(upstreams::add));
        for (LogLine line : all) {
            LogLine at = line.shifted(shifts.getOrDefault(line.process(), 0L));
            boolean meanwhile = at.millis() >= begin - CONTEXT_MILLIS && at.millis() <= end;
            boolean ofUpstream = line.event().startsWith("upstream-")
                    && line.value("upstream").filter(upstreams::contains).isPresent()
                    && shifts.containsKey(line.process());
            boolean ofNode = line.process().equals(home) && NODE_EVENTS.contains(line.event());
            if (meanwhile && (ofUpstream || ofNode)) {
                story.add(at);
            }
        }
    }
}
