package org.copperspindle.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The log lines of several processes that explain one request, in time order: the lines about the request itself, and
 * the state changes of its upstreams and of the lease of the node that received it.
 */
final class RequestTimeline {

    /** State changes up to this long before the request are included, since they may have influenced it. */
    private static final long CONTEXT_MILLIS = 10_000;

    private static final Set<String> NODE_STATE_EVENTS = Set.of(
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

    private static final Set<String> ADMISSION_EVENTS = Set.of("admission-decided", "admission-unanswered");

    private final List<LogLine> lines;

    private RequestTimeline(List<LogLine> lines) {
        this.lines = lines;
    }

    /** Selects and orders the lines that explain a request. */
    static RequestTimeline of(String request, List<LogLine> all) {
        Map<String, List<LogLine>> linesByProcess = new LinkedHashMap<>();
        Set<String> startIds = startIds(request, all);
        for (LogLine line : all) {
            if (line.concerns(request) || isDecisionOn(startIds, line)) {
                linesByProcess
                        .computeIfAbsent(line.process(), p -> new ArrayList<>())
                        .add(line);
            }
        }
        if (linesByProcess.isEmpty()) {
            return new RequestTimeline(List.of());
        }
        List<LogLine> receivingNodeLines = receivingNode(linesByProcess);
        long begin = receivingNodeLines.get(0).millis();
        long end = receivingNodeLines.get(receivingNodeLines.size() - 1).millis();
        Map<String, Long> clockOffsets = new LinkedHashMap<>();
        linesByProcess.forEach((process, processLines) -> clockOffsets.put(
                process, processLines == receivingNodeLines ? 0L : clockOffset(processLines, receivingNodeLines)));
        List<LogLine> timeline = new ArrayList<>();
        linesByProcess.forEach((process, processLines) ->
                processLines.forEach(line -> timeline.add(line.withOffset(clockOffsets.get(process)))));
        addContext(timeline, all, receivingNodeLines.get(0).process(), clockOffsets, begin, end);
        timeline.sort(Comparator.comparingLong(LogLine::millis));
        return new RequestTimeline(timeline);
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Returns the lines as text, with times relative to the first line. */
    List<String> print() {
        long first = lines.stream().mapToLong(LogLine::millis).min().orElse(0);
        return lines.stream()
                .map(line -> String.format("%+8d ms  %-20s %s", line.millis() - first, line.process(), line.text()))
                .toList();
    }

    /**
     * Returns the ids under which the request's node asked a controller for its start. The controller knows the
     * request by these only.
     */
    private static Set<String> startIds(String request, List<LogLine> all) {
        Set<String> ids = new HashSet<>();
        all.stream()
                .filter(line -> line.concerns(request))
                .forEach(line -> line.value("start_id").ifPresent(ids::add));
        return ids;
    }

    private static boolean isDecisionOn(Set<String> startIds, LogLine line) {
        return ADMISSION_EVENTS.contains(line.event())
                && line.value("start_id").filter(startIds::contains).isPresent();
    }

    /** Returns the lines of the node that received the request from the caller. */
    private static List<LogLine> receivingNode(Map<String, List<LogLine>> linesByProcess) {
        return linesByProcess.values().stream()
                .filter(processLines -> processLines.stream()
                        .anyMatch(line -> line.event().equals("request-admitted")
                                || line.event().equals("request-refused")
                                || line.event().equals("request-ended")))
                .findFirst()
                .orElse(linesByProcess.values().iterator().next());
    }

    /**
     * Estimates the clock offset of another process: the smallest correction that moves each of its lines about the
     * request to a time at which it can have been written, as far as all of them allow it.
     */
    private static long clockOffset(List<LogLine> processLines, List<LogLine> receivingNodeLines) {
        long begin = receivingNodeLines.get(0).millis();
        long end = receivingNodeLines.get(receivingNodeLines.size() - 1).millis();
        // Other nodes take part in the stages only, which finish before the first attempt at the upstream.
        long stagesEnd = receivingNodeLines.stream()
                .filter(line -> line.event().equals("attempt-sent"))
                .mapToLong(line -> line.millis() - 1)
                .findFirst()
                .orElse(end);
        long least = Long.MIN_VALUE;
        long most = Long.MAX_VALUE;
        for (LogLine line : processLines) {
            long from = begin;
            long to = stagesEnd;
            for (LogLine own : receivingNodeLines) {
                if (isDecisionOn(Set.of(own.value("start_id").orElse("")), line)) {
                    // A controller decides after it was asked and before the node has its decision.
                    from = own.event().equals("gate-hold") ? own.millis() : from;
                    to = own.event().equals("gate-hold") ? to : Math.min(to, own.millis() - 1);
                }
            }
            least = Math.max(least, from - line.millis());
            most = Math.min(most, to - line.millis());
        }
        return Math.max(least, Math.min(0, most));
    }

    private static void addContext(
            List<LogLine> timeline,
            List<LogLine> all,
            String receivingNode,
            Map<String, Long> clockOffsets,
            long begin,
            long end) {
        Set<String> upstreams = new HashSet<>();
        timeline.forEach(line -> line.value("upstream").ifPresent(upstreams::add));
        for (LogLine line : all) {
            LogLine corrected = line.withOffset(clockOffsets.getOrDefault(line.process(), 0L));
            boolean inTimeRange = corrected.millis() >= begin - CONTEXT_MILLIS && corrected.millis() <= end;
            boolean concernsUpstream = line.event().startsWith("upstream-")
                    && line.value("upstream").filter(upstreams::contains).isPresent()
                    && clockOffsets.containsKey(line.process());
            boolean concernsNode = line.process().equals(receivingNode) && NODE_STATE_EVENTS.contains(line.event());
            if (inTimeRange && (concernsUpstream || concernsNode)) {
                timeline.add(corrected);
            }
        }
    }
}
