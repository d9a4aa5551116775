package org.copperspindle.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;

/**
 * Decides for all nodes which requests of one pool group start, while this node is the controller of the group. Its
 * state is lost with it: the nodes ask the next controller again.
 */
final class StartController {

    private static final Logger LOGGER = LogManager.getLogger(StartController.class);

    /** Interval of decisions while requests wait: a quarter of the age that the reported loads may have. */
    private static final long DECISION_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /**
     * Decisions take at most one of so many parts of the time: their cost grows with the number of waiting requests, and
     * the node that decides also dispatches calls. Without a bound, a queue that is longer than usual delays the
     * dispatch, which makes it longer still.
     */
    private static final int PARTS_OF_TIME = 5;

    /**
     * Maximum number of requests between two rounds of decisions; their nodes decide any beyond it. Twice what the queue
     * keeps, so that in a flood there is room for urgent requests until the queue refuses the others.
     */
    private static final int MAX_UNDECIDED = 2 * StartQueue.MAX_WAITING;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final StartQueue queue;
    private final StartForecast forecast;
    private final TimerService timers;
    private final Responder responder;
    private final StartCounters counters;
    private final LogRateLimiter log;
    private final DeferredTask nextDecision;
    private final Map<Key, Waiting> waiting = new HashMap<>();
    private long restUntil;
    private boolean rests;

    StartController(
            StartPolicy policy, TimerService timers, Responder responder, StartCounters counters, LogRateLimiter log) {
        this.queue = policy.queues().get();
        this.forecast = policy.forecasts().get();
        this.timers = timers;
        this.responder = responder;
        this.counters = counters;
        this.log = log;
        this.nextDecision = new DeferredTask(timers, this::decideWithinBudget);
    }

    /**
     * Adds a request, which is decided at once if possible. A request that waits already keeps its place.
     *
     * @param request the request
     * @return false if too many requests wait; the node decides then
     */
    boolean add(StartRequest request) {
        Key key = Key.of(request);
        if (!waiting.containsKey(key)) {
            if (waiting.size() >= MAX_UNDECIDED) {
                return false;
            }
            long now = timers.nanoTime();
            waiting.put(key, new Waiting(now, request.request().rank(), isTimely(request.request(), now)));
            queue.add(request, now);
            decideWithinBudget();
        }
        if (waiting.containsKey(key)) {
            responder.queued(request.node(), request.id());
        }
        return true;
    }

    void cancel(String node, long id) {
        if (waiting.remove(new Key(node, id)) != null) {
            queue.cancel(node, id);
        }
    }

    /** Removes the requests of a node that is gone. */
    void forget(String node) {
        if (waiting.keySet().removeIf(key -> key.node().equals(node))) {
            queue.forget(node);
        }
    }

    /** Decides now, or as soon as decisions have taken no more than their part of the time. */
    void decideWithinBudget() {
        long left = restUntil - timers.nanoTime();
        if (rests && left > 0) {
            nextDecision.schedule(left);
        } else {
            decide();
        }
    }

    /** Drops all requests: another node is the controller now, and their nodes ask it. */
    void drop() {
        waiting.keySet().forEach(key -> queue.cancel(key.node(), key.id()));
        waiting.clear();
    }

    int waitingCount() {
        return waiting.size();
    }

    int waitingCount(int rank) {
        return (int) waiting.values().stream().filter(w -> w.rank() == rank).count();
    }

    /** Decides which requests start or are refused by the present loads. */
    private void decide() {
        if (waiting.isEmpty()) {
            return;
        }
        long now = timers.nanoTime();
        for (StartDecision decision : queue.decide(forecast, now)) {
            Waiting entry = waiting.remove(Key.of(decision.request()));
            if (entry != null) {
                record(decision, entry, now);
                responder.decided(decision);
            }
        }
        long end = timers.nanoTime();
        rests = end - now > 0;
        restUntil = end + (PARTS_OF_TIME - 1) * (end - now);
        if (!waiting.isEmpty()) {
            nextDecision.schedule(Math.max(DECISION_INTERVAL_NANOS, restUntil - end));
        }
    }

    private boolean isTimely(StagedRequest request, long now) {
        long end = now + forecast.shortestNanos(request) + forecast.queueingNanos(request);
        return end - request.objectiveAt() <= 0;
    }

    private void record(StartDecision decision, Waiting entry, long now) {
        StartRequest start = decision.request();
        StagedRequest request = start.request();
        boolean starts = decision instanceof StartDecision.Start;
        long retryAfterMillis = 0;
        if (decision instanceof StartDecision.Refuse refuse) {
            retryAfterMillis = refuse.retryAfter().toMillis();
            counters.recordRefusal(request);
        } else {
            counters.recordStart(request, forecast.costNanos(request));
        }
        if (starts ? log.allowsServed(now) : log.allowsFailed(now)) {
            LOGGER.info(
                    "event=admission-decided start_id={} node={} route={} account={} rank={} retried={} timely={}"
                            + " waited_ms={} ahead={} verdict={} retry_ms={}",
                    start.id(),
                    start.node(),
                    request.route().name(),
                    request.accountName(),
                    request.rank(),
                    request.retried(),
                    entry.timely(),
                    (now - entry.arrivedAt()) / NANOS_PER_MILLI,
                    waiting.size(),
                    starts ? "start" : "refuse",
                    retryAfterMillis);
        }
    }

    /** Sends decisions to the nodes of the requests. */
    interface Responder {
        /**
         * Reports that a request waits.
         *
         * @param node node of the request
         * @param id   id of the start request at that node
         */
        void queued(String node, long id);

        /**
         * Reports a decision.
         *
         * @param decision the decision
         */
        void decided(StartDecision decision);
    }

    private record Key(String node, long id) {
        static Key of(StartRequest request) {
            return new Key(request.node(), request.id());
        }
    }

    /** A waiting request; whether it was timely when it arrived tells later why others went first. */
    private record Waiting(long arrivedAt, int rank, boolean timely) {}
}
