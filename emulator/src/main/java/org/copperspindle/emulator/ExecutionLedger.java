package org.copperspindle.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts every execution by key, apart from all of the system's own counting, so that doubled and unfounded runs can't
 * hide. Thread-safe.
 */
public final class ExecutionLedger {

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Queue<Execution> all = new ConcurrentLinkedQueue<>();
    private final Queue<ReceivedCall> received = new ConcurrentLinkedQueue<>();

    /**
     * Records one execution of a plain service.
     *
     * @param key what was run, normally the caller's own token in the body
     */
    public void ran(String key) {
        ran(new Execution(FakeKind.SERVICE, 0, key, "", ""));
    }

    /**
     * Records one execution.
     *
     * @param execution what was run
     */
    public void ran(Execution execution) {
        all.add(execution);
        executions
                .computeIfAbsent(key(execution.kind(), execution.token()), k -> new AtomicInteger())
                .incrementAndGet();
    }

    /**
     * Records a call that came to a fake, before it is run or refused.
     *
     * @param call the call
     */
    public void received(ReceivedCall call) {
        received.add(call);
    }

    /**
     * Returns every call that came to a fake.
     *
     * @return in their order, as far as the fakes' threads have one
     */
    public List<ReceivedCall> receivedCalls() {
        return List.copyOf(received);
    }

    /**
     * Returns how often a plain service ran something.
     *
     * @param key what was run
     * @return executions, 0 if it never ran
     */
    public int count(String key) {
        return count(FakeKind.SERVICE, key);
    }

    /**
     * Returns how often the fakes of one interface ran something.
     *
     * @param kind interface of the fakes
     * @param token what was run
     * @return executions, 0 if it never ran
     */
    public int count(FakeKind kind, String token) {
        AtomicInteger count = executions.get(key(kind, token));
        return count == null ? 0 : count.get();
    }

    /**
     * Returns how often anything ran on behalf of each request.
     *
     * @return executions by request id
     */
    public Map<String, Integer> byRequest() {
        Map<String, Integer> counts = new HashMap<>();
        all.forEach(e -> counts.merge(e.requestId(), 1, Integer::sum));
        return counts;
    }

    /**
     * Returns every execution.
     *
     * @return in their order, as far as the fakes' threads have one
     */
    public List<Execution> executions() {
        return List.copyOf(all);
    }

    /**
     * Returns all counts.
     *
     * @return executions by key: the bare token for plain services, {@code kind/token} for the others
     */
    public Map<String, AtomicInteger> all() {
        return Map.copyOf(executions);
    }

    private static String key(FakeKind kind, String token) {
        return kind == FakeKind.SERVICE ? token : kind + "/" + token;
    }
}
