package org.copperspindle.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Records every execution on a simulated upstream, independently of the code under test. */
public final class ExecutionRecorder {

    private final Map<String, List<String>> attemptsByToken = new HashMap<>();
    private int total;

    // Records one execution; returns its number, unique in this recorder.
    public int ran(String token, String attemptId) {
        attemptsByToken.computeIfAbsent(token, t -> new ArrayList<>()).add(attemptId);
        return ++total;
    }

    int count(String token) {
        return attemptsByToken.getOrDefault(token, List.of()).size();
    }

    boolean ranAttemptOf(String requestId) {
        return attemptsByToken.values().stream()
                .flatMap(List::stream)
                .anyMatch(attempt -> attempt.startsWith(requestId + "/"));
    }

    int total() {
        return total;
    }
}
