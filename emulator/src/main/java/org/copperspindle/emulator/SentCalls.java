package org.copperspindle.emulator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What callers have sent, against what comes to fakes: nothing may arrive that no caller has sent, or other than its caller
 * sent it. Thread-safe.
 */
public final class SentCalls {

    private final Map<String, SentCall> sent = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> requests = new ConcurrentHashMap<>();
    private final Set<String> unanswered = ConcurrentHashMap.newKeySet();

    /**
     * A caller is about to send a call.
     *
     * @param call the call
     */
    public void sends(SentCall call) {
        sent.put(call.token(), call);
    }

    /**
     * A caller got an answer, or none.
     *
     * @param token     token of the call
     * @param requestId request that the answer names; empty if there is none
     */
    public void answered(String token, String requestId) {
        if (requestId.isEmpty()) {
            unanswered.add(token);
        } else {
            requests.computeIfAbsent(token, t -> ConcurrentHashMap.newKeySet()).add(requestId);
        }
    }

    /**
     * Compares what came to fakes, once all callers have their answers.
     *
     * @param received calls at all fakes
     * @return what no caller has sent so, a line each
     */
    public List<String> broken(Collection<ReceivedCall> received) {
        List<String> broken = new ArrayList<>();
        received.forEach(call -> difference(call).ifPresent(found -> broken.add(found + ": " + call)));
        return broken;
    }

    private Optional<String> difference(ReceivedCall call) {
        Execution execution = call.execution();
        SentCall own = sent.get(execution.token());
        if (own == null) {
            return Optional.of("no caller has sent this token");
        }
        Set<String> paths = own.paths().getOrDefault(execution.kind(), Set.of());
        if (!paths.contains(call.path())) {
            return Optional.of("another path than " + paths);
        }
        boolean right = execution.kind() == FakeKind.SERVICE
                ? call.body().equals(own.text())
                : call.body().contains(own.text());
        if (!right) {
            return Optional.of("another body than " + own.text());
        }
        Set<String> known = requests.getOrDefault(execution.token(), Set.of());
        // Of a call without an answer no caller knows the id.
        return known.contains(execution.requestId()) || unanswered.contains(execution.token())
                ? Optional.empty()
                : Optional.of("no caller's request has this id, but " + known);
    }
}
