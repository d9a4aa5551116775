package org.copperspindle.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.Peer;

/**
 * Carries attempts to the upstream and their ends back to the decision ring. Owned by the ring.
 */
final class AttemptRunner {

    private final DecisionRing ring;
    private final TimerService timers;
    private final UpstreamClient client;
    private final Set<Integer> refusalStatuses;
    private final int maxResponse;
    private final Consumer<ResponseRelay.RelayedResponse> ended;
    private final Map<String, Consumer<String>> aborts = new HashMap<>();

    /**
     * Creates a runner.
     *
     * @param ring            decision ring
     * @param timers          time
     * @param client          client of the upstream
     * @param refusalStatuses statuses by which the upstream says that it did not run a call
     * @param maxResponse     bytes of one answer at most
     * @param ended           told the end of each attempt, on the ring
     */
    AttemptRunner(
            DecisionRing ring,
            TimerService timers,
            UpstreamClient client,
            Set<Integer> refusalStatuses,
            int maxResponse,
            Consumer<ResponseRelay.RelayedResponse> ended) {
        this.ring = ring;
        this.timers = timers;
        this.client = client;
        this.refusalStatuses = refusalStatuses;
        this.maxResponse = maxResponse;
        this.ended = ended;
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
     * Safeguard: waiting for the ring on the network thread would stop every other answer of this upstream while the
     * ring is full; the task is offered again instead. Those that wait are bounded by the attempts that run.
     */
    private void handOver(AttemptOrderMessage order, ResponseRelay.RelayedResponse response) {
        ring.offerUntilTaken(
                () -> {
                    aborts.remove(order.attemptId());
                    ended.accept(response);
                },
                client.scheduler());
    }
}
