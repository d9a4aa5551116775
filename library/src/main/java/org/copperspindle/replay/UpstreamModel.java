package org.copperspindle.replay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.PoolSettings;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.verdict.RanVerdict;

/**
 * A small stand-in for one upstream with its agent: a number of slots, a queue before them, and a time for each
 * attempt that grows with the batch. Engines serve their queue by priority and remember prompt prefixes.
 */
final class UpstreamModel {

    /** How much longer an attempt on an engine takes when every slot is busy. */
    private static final double BATCH_FACTOR = 0.6;

    /** Part of an engine's work that a remembered prefix saves. */
    private static final double PREFIX_SAVING = 0.3;

    private static final int PREFIXES_KEPT = 48;
    private static final long ERROR_NANOS = 1_000_000;
    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;

    private final String id;
    private final String failureDomain;
    private final PoolSettings pool;
    private final TimerService timers;
    private final ReplayTally tally;
    private final List<Job> running = new ArrayList<>();
    private final PriorityQueue<Job> waiting;
    private final Deque<LoadSample> samples = new ArrayDeque<>();
    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(PREFIXES_KEPT, 0.75f, true);
    private long sequence;
    private double slowFactor = 1;
    private boolean stalled;
    private boolean down;
    private boolean silent;
    private boolean failing;
    private long reportLagNanos;

    UpstreamModel(String id, String failureDomain, PoolSettings pool, TimerService timers, ReplayTally tally) {
        this.id = id;
        this.failureDomain = failureDomain;
        this.pool = pool;
        this.timers = timers;
        this.tally = tally;
        Comparator<Job> bySequence = Comparator.comparingLong(job -> job.sequence);
        Comparator<Job> byPriority = Comparator.comparing((Job job) -> job.order.priority());
        this.waiting =
                new PriorityQueue<>(pool.kind() == PoolKind.ENGINE ? byPriority.thenComparing(bySequence) : bySequence);
    }

    String id() {
        return id;
    }

    String failureDomain() {
        return failureDomain;
    }

    PoolSettings pool() {
        return pool;
    }

    /** Takes an order; a silent upstream drops it, a dead one refuses the connection. */
    void order(AttemptOrderMessage order, long workNanos, long prefix, AttemptListener listener) {
        if (silent) {
            return;
        }
        if (down) {
            listener.onNotSent();
            return;
        }
        Job job = new Job(order, workNanos, prefix, listener, sequence++);
        if (failing) {
            timers.schedule(ERROR_NANOS, () -> listener.onOutcome(outcome(job, SERVER_ERROR, 0), 0));
            return;
        }
        if (running.size() < pool.concurrency()) {
            start(job);
        } else {
            waiting.add(job);
        }
        sample();
    }

    /** Cancels an attempt, running or not. */
    void cancel(String attemptId) {
        if (silent || waiting.removeIf(job -> job.order.attemptId().equals(attemptId))) {
            return;
        }
        for (Job job : List.copyOf(running)) {
            if (job.order.attemptId().equals(attemptId)) {
                stop(job);
                startWaiting();
            }
        }
    }

    /** Begins or ends a fault. */
    void fault(TraceFault fault, boolean begins) {
        switch (fault.effect()) {
            case SLOW:
                slowFactor = begins ? fault.factor() : 1;
                break;
            case STALL:
                stall(begins);
                break;
            case ERROR:
                failing = begins;
                break;
            case LATE_REPORTS:
                reportLagNanos = begins ? fault.lagNanos() : 0;
                break;
            case CRASH:
                down = begins;
                killAll(begins);
                break;
            case LOST:
                silent = begins;
                killAll(false);
                break;
            default:
                throw new IllegalStateException("unknown effect " + fault.effect());
        }
    }

    /** Returns whether it keeps its lease. */
    boolean alive() {
        return !down && !silent;
    }

    /** Returns the load as the agent reports it, older under a fault. */
    int reportedInFlight() {
        long then = timers.nanoTime() - reportLagNanos;
        int value = samples.isEmpty() ? 0 : samples.peek().inFlight;
        for (LoadSample sample : samples) {
            if (sample.at > then) {
                break;
            }
            value = sample.inFlight;
        }
        return value;
    }

    private void start(Job job) {
        running.add(job);
        job.startedAt = timers.nanoTime();
        double factor = slowFactor;
        if (pool.kind() == PoolKind.ENGINE) {
            factor *= 1 + BATCH_FACTOR * running.size() / pool.concurrency();
            factor *= remembered(job.prefix) ? 1 - PREFIX_SAVING : 1;
        }
        job.remaining = (long) (job.workNanos * factor);
        if (!stalled) {
            run(job);
        }
    }

    private boolean remembered(long prefix) {
        if (prefix == 0) {
            return false;
        }
        boolean known = prefixes.put(prefix, true) != null;
        if (prefixes.size() > PREFIXES_KEPT) {
            prefixes.remove(prefixes.keySet().iterator().next());
        }
        return known;
    }

    private void run(Job job) {
        job.endsAt = timers.nanoTime() + job.remaining;
        job.end = timers.schedule(job.remaining, () -> finish(job));
    }

    private void finish(Job job) {
        double cost = stop(job);
        startWaiting();
        job.listener.onOutcome(outcome(job, SUCCESS, timers.nanoTime() - job.startedAt), cost);
    }

    private void startWaiting() {
        while (running.size() < pool.concurrency() && !waiting.isEmpty()) {
            start(waiting.poll());
        }
        sample();
    }

    private double stop(Job job) {
        running.remove(job);
        job.end.cancel();
        return tally.spent(job.order.requestId(), pool, timers.nanoTime() - job.startedAt);
    }

    private void stall(boolean begins) {
        stalled = begins;
        for (Job job : running) {
            if (begins) {
                job.end.cancel();
                job.remaining = Math.max(0, job.endsAt - timers.nanoTime());
            } else {
                run(job);
            }
        }
    }

    private void killAll(boolean told) {
        List<Job> killed = new ArrayList<>(running);
        killed.forEach(this::stop);
        killed.addAll(waiting);
        waiting.clear();
        prefixes.clear();
        sample();
        if (told) {
            killed.forEach(job -> job.listener.onLost());
        }
    }

    private void sample() {
        samples.add(new LoadSample(timers.nanoTime(), running.size() + waiting.size()));
        long then = timers.nanoTime() - reportLagNanos;
        while (samples.size() > 1) {
            LoadSample first = samples.poll();
            if (samples.peek().at > then) {
                samples.addFirst(first);
                return;
            }
        }
    }

    private AttemptOutcomeMessage outcome(Job job, int status, long busyNanos) {
        int inFlight = reportedInFlight();
        byte[] body = body(pool.kind()).getBytes(StandardCharsets.UTF_8);
        return new AttemptOutcomeMessage(
                job.order.attemptId(),
                RanVerdict.SUCCESS,
                status,
                "application/json",
                body,
                true,
                0,
                busyNanos / 1000,
                inFlight,
                pool.reportsLoad() ? inFlight : -1);
    }

    private static String body(PoolKind kind) {
        return switch (kind) {
            case ENCODER -> "{\"data\":[{\"embedding\":[0.5]}]}";
            case RETRIEVER -> "{\"documents\":[\"d\"]}";
            case RERANKER -> "{\"results\":[{\"index\":0}]}";
            case ENGINE -> "{\"choices\":[{\"text\":\"t\"}]}";
            case SERVICE -> "{}";
        };
    }

    /** Hears how an attempt ended, at the upstream; the network's delay is the listener's. */
    interface AttemptListener {

        /** It ended with an outcome that cost something. */
        void onOutcome(AttemptOutcomeMessage outcome, double cost);

        /** The connection broke while it was open. */
        void onLost();

        /** The connection was refused. */
        void onNotSent();
    }

    private record LoadSample(long at, int inFlight) {}

    private static final class Job {
        private final AttemptOrderMessage order;
        private final long workNanos;
        private final long prefix;
        private final AttemptListener listener;
        private final long sequence;
        private TimerSubscription end = () -> {};
        private long startedAt;
        private long endsAt;
        private long remaining;

        private Job(AttemptOrderMessage order, long workNanos, long prefix, AttemptListener listener, long sequence) {
            this.order = order;
            this.workNanos = workNanos;
            this.prefix = prefix;
            this.listener = listener;
            this.sequence = sequence;
        }
    }
}
