package org.copperspindle.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.Peer;

/**
 * Calls the upstream for attempts and hands their results to the decision ring. Used on the ring.
 */
final class AttemptRunner {

    private final DecisionRing ring;
    private final TimerService timers;
    private final UpstreamClient client;
    private final Set<Integer> refusalStatuses;
    private final int maxResponse;
    private final Consumer<ResponseRelay.RelayedResponse> onEnded;
    private final Map<String, Consumer<String>> aborts = new HashMap<>();

    /**
     * Creates a runner.
     *
     * @param ring            decision ring
     * @param timers          timer service
     * @param client          client of the upstream
     * @param refusalStatuses HTTP statuses that mean that the upstream did not run a call
     * @param maxResponse     most bytes of one response
     * @param onEnded         receives the result of each attempt, on the ring
     */
    AttemptRunner(
            DecisionRing ring,
            TimerService timers,
            UpstreamClient client,
            Set<Integer> refusalStatuses,
            int maxResponse,
            Consumer<ResponseRelay.RelayedResponse> onEnded) {
        this.ring = ring;
        this.timers = timers;
        this.client = client;
        this.refusalStatuses = refusalStatuses;
        this.maxResponse = maxResponse;
        this.onEnded = onEnded;
    }

    void start(AttemptOrderMessage order, Peer from) {
        UpstreamCall call = new UpstreamCall(
                order.path(), order.body(), order.requestId(), order.attemptId(), order.repeatable(), maxResponse);
        ResponseRelay relay = new ResponseRelay(
                order, from, refusalStatuses, timers::nanoTime, response -> handOver(order, response));
        aborts.put(order.attemptId(), client.call(call, relay));
    }

    void abort(String attemptId, String reason) {
        Consumer<String> abort = aborts.get(attemptId);
        if (abort != null) {
            abort.accept(reason);
        }
    }

    /**
     * Hands a result over without blocking. Waiting for the ring on the network thread would stop all other responses
     * of this upstream while the ring is full, so the task is offered again instead. The number of such tasks is
     * bounded by the running attempts.
     */
    private void handOver(AttemptOrderMessage order, ResponseRelay.RelayedResponse response) {
        ring.offerWithRetry(
                () -> {
                    aborts.remove(order.attemptId());
                    onEnded.accept(response);
                },
                client.scheduler());
    }
}
