package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;

import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.LoadForecast;
import org.copperspindle.admission.ShortageDetector;
import org.copperspindle.admission.StartDecision;
import org.copperspindle.admission.StartForecast;
import org.copperspindle.admission.StartQueue;
import org.copperspindle.admission.StartQueues;
import org.copperspindle.admission.StartRequest;
import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.ClientAccount;
import org.copperspindle.time.TimerService;

/**
 * Controller of all stage pools of a replay: decides at each arrival and at intervals. Messages to and from it take a
 * while.
 */
final class ReplayedController {

    private static final long DECIDE_NANOS = Duration.ofMillis(20).toNanos();
    private static final long ONE_WAY_NANOS = Duration.ofMillis(1).toNanos();
    private static final String NODE = "node";

    private final TimerService timers;
    private final Function<String, PoolLoad> loads;
    private final Map<String, BatchLimits> limits;
    private final StartQueue queue;
    private final StartForecast forecast;
    private final Map<String, ShortageDetector> shortages = new HashMap<>();
    private final Map<Long, Consumer<StartDecision>> listeners = new HashMap<>();
    private long lastId;
    private boolean isShort;

    ReplayedController(
            TimerService timers,
            Function<String, PoolLoad> loads,
            Map<String, BatchLimits> limits,
            FirstEventLatencies latencies,
            long seed) {
        this.timers = timers;
        this.loads = loads;
        this.limits = limits;
        this.queue = StartQueues.create(new SplittableRandom(seed));
        this.forecast = new LoadForecast(loads, latencies, timers::nanoTime);
    }

    /** Starts to decide at intervals. */
    void start() {
        isShort = false;
        limits.forEach((pool, each) -> {
            long queueing = ShortageDetector.queueingNanos(loads.apply(pool), each);
            isShort |= shortages
                    .computeIfAbsent(pool, p -> new ShortageDetector())
                    .update(queueing, each.fullCallNanos(), timers.nanoTime());
        });
        decide();
        timers.schedule(DECIDE_NANOS, this::start);
    }

    /** Returns whether requests must be sent here. */
    boolean isShort() {
        return isShort;
    }

    /** Sends a request; the listener receives the decision. */
    void request(AdmittedRequest request, Consumer<StartDecision> listener) {
        long id = ++lastId;
        listeners.put(id, listener);
        timers.schedule(ONE_WAY_NANOS, () -> {
            queue.add(new StartRequest(NODE, id, request, weight(request)), timers.nanoTime());
            decide();
        });
    }

    private static double weight(AdmittedRequest request) {
        return request.account().map(ClientAccount::weight).orElse(ClientAccount.DEFAULT_WEIGHT);
    }

    private void decide() {
        queue.decide(forecast, timers.nanoTime())
                .forEach(decision -> timers.schedule(
                        ONE_WAY_NANOS,
                        () -> listeners.remove(decision.request().id()).accept(decision)));
    }
}
