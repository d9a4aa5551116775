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
 * A simple model of one upstream and its agent: a number of slots, a queue in front of them, and an attempt duration
 * that grows with the number of busy slots. Engines serve their queue by priority and cache prompt prefixes.
 */
final class UpstreamModel {

    /** Share by which an attempt on an engine takes longer when every slot is busy. */
    private static final double FULL_BATCH_SLOWDOWN = 0.6;

    /** Share of an engine's work that a cached prefix saves. */
    private static final double PREFIX_SAVING = 0.3;

    private static final int MAX_CACHED_PREFIXES = 48;
    private static final long ERROR_DELAY_NANOS = 1_000_000;
    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;

    private final String id;
    private final String failureDomain;
    private final PoolSettings pool;
    private final TimerService timers;
    private final ReplayTally tally;
    private final List<Job> running = new ArrayList<>();
    private final PriorityQueue<Job> queued;
    private final Deque<LoadSample> samples = new ArrayDeque<>();
    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(MAX_CACHED_PREFIXES, 0.75f, true);
    private long sequence;
    private double slowFactor = 1;
    private boolean stalled;
    private boolean crashed;
    private boolean unreachable;
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
        this.queued =
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

    /** Accepts an order. An unreachable upstream drops it, a crashed one refuses the connection. */
    void order(AttemptOrderMessage order, long workNanos, long prefix, AttemptListener listener) {
        if (unreachable) {
            return;
        }
        if (crashed) {
            listener.onNotSent();
            return;
        }
        Job job = new Job(order, workNanos, prefix, listener, sequence++);
        if (failing) {
            timers.schedule(ERROR_DELAY_NANOS, () -> listener.onOutcome(outcome(job, SERVER_ERROR, 0), 0));
            return;
        }
        if (running.size() < pool.concurrency()) {
            start(job);
        } else {
            queued.add(job);
        }
        sample();
    }

    /** Cancels an attempt, running or queued. */
    void cancel(String attemptId) {
        if (unreachable || queued.removeIf(job -> job.order.attemptId().equals(attemptId))) {
            return;
        }
        for (Job job : List.copyOf(running)) {
            if (job.order.attemptId().equals(attemptId)) {
                stop(job);
                startQueued();
            }
        }
    }

    /** Starts or ends a fault. */
    void fault(TraceFault fault, boolean starts) {
        switch (fault.effect()) {
            case SLOW:
                slowFactor = starts ? fault.factor() : 1;
                break;
            case STALL:
                stall(starts);
                break;
            case ERROR:
                failing = starts;
                break;
            case LATE_REPORTS:
                reportLagNanos = starts ? fault.lagNanos() : 0;
                break;
            case CRASH:
                crashed = starts;
                abortAll(starts);
                break;
            case LOST:
                unreachable = starts;
                abortAll(false);
                break;
            default:
                throw new IllegalStateException("unknown effect " + fault.effect());
        }
    }

    /** Returns whether the upstream renews its lease. */
    boolean alive() {
        return !crashed && !unreachable;
    }

    /** Returns the load as the agent reports it, which is delayed during a {@code LATE_REPORTS} fault. */
    int reportedInFlight() {
        long reportedNanos = timers.nanoTime() - reportLagNanos;
        int value = samples.isEmpty() ? 0 : samples.peek().inFlight;
        for (LoadSample sample : samples) {
            if (sample.at > reportedNanos) {
                break;
            }
            value = sample.inFlight;
        }
        return value;
    }

    private void start(Job job) {
        running.add(job);
        job.startedNanos = timers.nanoTime();
        double factor = slowFactor;
        if (pool.kind() == PoolKind.ENGINE) {
            factor *= 1 + FULL_BATCH_SLOWDOWN * running.size() / pool.concurrency();
            factor *= cachePrefix(job.prefix) ? 1 - PREFIX_SAVING : 1;
        }
        job.remainingNanos = (long) (job.workNanos * factor);
        if (!stalled) {
            run(job);
        }
    }

    private boolean cachePrefix(long prefix) {
        if (prefix == 0) {
            return false;
        }
        boolean cached = prefixes.put(prefix, true) != null;
        if (prefixes.size() > MAX_CACHED_PREFIXES) {
            prefixes.remove(prefixes.keySet().iterator().next());
        }
        return cached;
    }

    private void run(Job job) {
        job.endNanos = timers.nanoTime() + job.remainingNanos;
        job.end = timers.schedule(job.remainingNanos, () -> finish(job));
    }

    private void finish(Job job) {
        double cost = stop(job);
        startQueued();
        job.listener.onOutcome(outcome(job, SUCCESS, timers.nanoTime() - job.startedNanos), cost);
    }

    private void startQueued() {
        while (running.size() < pool.concurrency() && !queued.isEmpty()) {
            start(queued.poll());
        }
        sample();
    }

    private double stop(Job job) {
        running.remove(job);
        job.end.cancel();
        return tally.spent(job.order.requestId(), pool, timers.nanoTime() - job.startedNanos);
    }

    private void stall(boolean starts) {
        stalled = starts;
        for (Job job : running) {
            if (starts) {
                job.end.cancel();
                job.remainingNanos = Math.max(0, job.endNanos - timers.nanoTime());
            } else {
                run(job);
            }
        }
    }

    private void abortAll(boolean notify) {
        List<Job> aborted = new ArrayList<>(running);
        aborted.forEach(this::stop);
        aborted.addAll(queued);
        queued.clear();
        prefixes.clear();
        sample();
        if (notify) {
            aborted.forEach(job -> job.listener.onLost());
        }
    }

    private void sample() {
        samples.add(new LoadSample(timers.nanoTime(), running.size() + queued.size()));
        long reportedNanos = timers.nanoTime() - reportLagNanos;
        while (samples.size() > 1) {
            LoadSample first = samples.poll();
            if (samples.peek().at > reportedNanos) {
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

    /** Notified when an attempt ends at the upstream, without network delay. */
    interface AttemptListener {

        /** The attempt ended with an outcome at the given cost. */
        void onOutcome(AttemptOutcomeMessage outcome, double cost);

        /** The connection broke during the attempt. */
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
        private long startedNanos;
        private long endNanos;
        private long remainingNanos;

        private Job(AttemptOrderMessage order, long workNanos, long prefix, AttemptListener listener, long sequence) {
            this.order = order;
            this.workNanos = workNanos;
            this.prefix = prefix;
            this.listener = listener;
            this.sequence = sequence;
        }
    }
}
