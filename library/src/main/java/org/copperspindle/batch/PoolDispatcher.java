package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;

/**
 * Batches the pieces of one pool into calls and dispatches them to the upstreams. A call is formed at the last
 * moment, when an upstream is free, so that it takes all pieces that have arrived by then, the most urgent first.
 * While the pool keeps up, pieces hardly wait and calls are small. As the load rises, more pieces gather while calls
 * run, and calls grow up to their limit, at which the throughput of the pool is highest.
 */
final class PoolDispatcher {

    /** Added to the timeout of a call, for fetching inputs over loaded links and for retransmitted packets. */
    private static final Duration FETCH_ALLOWANCE = Duration.ofMillis(250);

    /**
     * Pause of an upstream that refused a call because other nodes call it as well: a fraction of a call's duration.
     */
    private static final long BUSY_PAUSE_NANOS = Duration.ofMillis(60).toNanos();

    /** Pause of an upstream without memory for results; its results are released within a fraction of a second. */
    private static final long ROOM_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

    /** Maximum number of attempts of a piece: each failure of an upstream costs it the duration of a call. */
    private static final int MAX_LOSSES = 3;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final String pool;
    private final UpstreamDirectory directory;
    private final TimerService timers;
    private final StagePort port;
    private final Supplier<Optional<BatchLimits>> limits;
    private final ResultSink sink;
    private final StageCallLogger callLogger;
    private final PieceQueue queue = new PieceQueue();
    private final PoolUpstreams upstreams;
    private final Map<WaitingGroup, Integer> running = new HashMap<>();
    private final ResultReleaser releaser;
    private final InputReleaser inputs;
    private final DeferredTask wake;
    private final CallSplitter splitter = new CallSplitter();
    private final NearUpstreams nearUpstreams;
    private final ResumedCalls resumedCalls = new ResumedCalls();
    private Optional<PauseDetector> pauseDetector = Optional.empty();
    private PoolWork work = PoolWork.NONE;

    PoolDispatcher(
            String pool,
            UpstreamDirectory directory,
            TimerService timers,
            StagePort port,
            Supplier<Optional<BatchLimits>> limits,
            ResultSink sink,
            LogRateLimiter log) {
        this.pool = pool;
        this.directory = directory;
        this.timers = timers;
        this.port = port;
        this.limits = limits;
        this.sink = sink;
        this.callLogger = new StageCallLogger(pool, log);
        this.upstreams = new PoolUpstreams(pool, directory);
        this.nearUpstreams = new NearUpstreams(directory, upstreams);
        // A standby is asked to release results before it dispatches anything.
        upstreams.refresh();
        this.releaser = new ResultReleaser(upstreams, timers, port, this::dispatch);
        this.inputs = new InputReleaser(pool, timers, sink, queue::isStartable);
        this.wake = new DeferredTask(timers, this::dispatch);
    }

    /** Sets the detector of process pauses during calls; without one, no pauses are assumed. */
    PoolDispatcher withPauseDetector(PauseDetector detector) {
        pauseDetector = Optional.of(detector);
        return this;
    }

    /** Sets the admission of calls to upstreams; without one, calls are not limited. */
    PoolDispatcher limitCallsWith(CallAdmission bound) {
        upstreams.limitCallsWith(bound);
        return this;
    }

    /** Sets what upstreams state of their pace; without it, they are presumed to take as long as usual. */
    PoolDispatcher scaleDurationsBy(UpstreamPace stated) {
        upstreams.scaleDurationsBy(stated);
        return this;
    }

    /** Sets whether the pool is short of capacity, so that calls are filled; without it, it never is. */
    PoolDispatcher fillCallsWhile(BooleanSupplier poolIsShort) {
        queue.fillCallsWhile(poolIsShort);
        return this;
    }

    /** Sets how calls are packed while the pool is short of capacity; without it, they are filled. */
    PoolDispatcher packShortCallsWith(CallPacking packing) {
        queue.packShortCallsWith(packing);
        return this;
    }

    /** Sets the groups for which a call may be started, evaluated for each call; other groups wait. */
    PoolDispatcher startOnlyFor(Supplier<Predicate<WaitingGroup>> groups) {
        queue.takeOnly(groups);
        return this;
    }

    void add(String origin, PieceGroup group) {
        queue.add(new WaitingGroup(origin, group, timers.nanoTime()));
        dispatch();
    }

    /**
     * Drops all groups of other nodes; results of their running calls are released as they arrive.
     *
     * @param self       the node whose groups are kept
     * @param keepInputs true if the node that dispatches them now needs their inputs
     * @return number of dropped groups
     */
    int dropGroupsOfOthers(String self, boolean keepInputs) {
        Predicate<WaitingGroup> isOther = group -> !group.origin().equals(self) && !group.isCancelled();
        List<WaitingGroup> waiting = queue.find(isOther);
        List<WaitingGroup> inProgress =
                running.keySet().stream().filter(isOther).toList();
        if (keepInputs) {
            waiting.forEach(WaitingGroup::withdraw);
            inProgress.forEach(WaitingGroup::withdraw);
        }
        waiting.forEach(group -> cancel(group.origin(), group.group().id()));
        inProgress.forEach(WaitingGroup::cancel);
        return waiting.size() + inProgress.size();
    }

    /**
     * Drops a group that another node dispatches now. Results of its running pieces are delivered, and its inputs are
     * not released.
     *
     * @param origin the node that submitted it
     * @param id     its id
     */
    void withdraw(String origin, long id) {
        queue.remove(origin, id).ifPresent(WaitingGroup::withdraw);
        running.keySet().stream()
                .filter(g -> g.origin().equals(origin) && g.group().id() == id)
                .forEach(WaitingGroup::withdraw);
    }

    /** Returns the nodes whose groups wait here. */
    Set<String> waitingOrigins() {
        return queue.find(group -> true).stream().map(WaitingGroup::origin).collect(Collectors.toSet());
    }

    /** Cancels a group: drops its waiting pieces; the results of running ones are released when they arrive. */
    void cancel(String origin, long id) {
        queue.cancel(origin, id).ifPresent(inputs::release);
        running.keySet().stream()
                .filter(g -> g.origin().equals(origin) && g.group().id() == id)
                .forEach(WaitingGroup::cancel);
    }

    /**
     * Cancels the groups of a node that is gone. The node may have restarted already; groups of its new incarnation
     * are kept.
     *
     * @param origin the node
     * @param until  when the node was lost, monotonic time in nanoseconds
     * @return results that were made for it and that nobody else will release
     */
    List<StageResult> forget(String origin, long until) {
        Predicate<WaitingGroup> isOld = group -> group.origin().equals(origin) && group.arrivedAt() - until <= 0;
        queue.find(isOld).forEach(group -> cancel(origin, group.group().id()));
        running.keySet().stream().filter(isOld).forEach(WaitingGroup::cancel);
        return upstreams.all().stream()
                .flatMap(upstream -> upstream.resultsOf(isOld).stream())
                .toList();
    }

    /** Returns a result with its producer; empty if it has none and was not made for this node, or if its producer is gone. */
    Optional<StageResult> nameProducer(StageResult result) {
        return upstreams.findHolder(result).map(holder -> new StageResult(result.handle(), holder.incarnation()));
    }

    void free(List<StageResult> results) {
        releaser.add(results);
    }

    /** Accounts for results that another node releases. */
    void recordReleased(List<StageResult> results) {
        releaser.recordReleased(results);
    }

    /** Sends waiting pieces to free upstreams. Also called when the upstreams of the pool changed. */
    void dispatch() {
        Optional<BatchLimits> known = limits.get();
        if (known.isEmpty()) {
            return;
        }
        long now = timers.nanoTime();
        queue.removeExpired(now).forEach(group -> reportMissed(group, group.missing(), MissReason.LATE));
        // Sent, they would make the upstream ask whoever uses the address of the producer now.
        queue.removeAll(group -> group.hasLostInputs(directory) && queue.isStartable(group))
                .forEach(group -> reportMissed(group, group.missing(), MissReason.INPUT_GONE));
        upstreams.refresh();
        queue.updateShortage();
        List<StageUpstream> slow = upstreams.skippedAsSlow(now);
        List<StageUpstream> free = upstreams.callable(known.get(), now);
        slow.retainAll(free);
        free.removeAll(slow);
        while (!free.isEmpty() && !queue.isEmpty()) {
            StageUpstream upstream = free.remove(0);
            if (sendResumed(upstream, free.size() + 1, known.get(), now)) {
                continue;
            }
            CallBounds bounds = bounds(upstream, queue.pieces(), free.size() + 1, known.get(), now);
            List<PieceTask> tasks = queue.take(
                    known.get(), bounds, now, group -> nearUpstreams.shouldSendTo(group, upstream, now, known.get()));
            if (!tasks.isEmpty()) {
                send(upstream, tasks, known.get(), false);
            }
        }
        probeSlowUpstreams(slow, known.get(), now);
        scheduleWake();
    }

    /**
     * Sends a call that carries only groups of interrupted streams, as long as their callers can get the next event in
     * time: in a full call their pieces would take longer.
     */
    private boolean sendResumed(StageUpstream upstream, int free, BatchLimits known, long now) {
        int pieces = queue.resumedPieces(known, now);
        if (pieces == 0) {
            return false;
        }
        int calls = Math.min(free, resumedCalls.free(upstreams.usableCount(now)));
        if (calls <= 0) {
            return false;
        }
        List<PieceTask> tasks = queue.takeResumed(known, bounds(upstream, pieces, calls, known, now), now);
        if (!tasks.isEmpty()) {
            send(upstream, tasks, known, true);
        }
        return !tasks.isEmpty();
    }

    private CallBounds bounds(StageUpstream upstream, int pieces, int calls, BatchLimits known, long now) {
        return new CallBounds(
                (pieces + calls - 1) / calls,
                upstream.freeMemory(known, now),
                upstreams.isBehind(known, queue.pieces(), now),
                upstreams.pace(upstream, now));
    }

    /**
     * Sends one small call now and then to each slow upstream that is skipped otherwise. Only a call can show that it
     * has recovered, and under load a faster upstream is always busy: without probes, upstreams that had been slow
     * for a moment stayed unused as long as the load lasted, and callers were refused. The probe carries the least
     * urgent group, since results of an upstream that is still slow come late.
     */
    private void probeSlowUpstreams(List<StageUpstream> slow, BatchLimits known, long now) {
        for (StageUpstream upstream : slow) {
            if (queue.isEmpty() || !upstream.isFree(known, now) || !upstream.isProbeDue(now)) {
                continue;
            }
            List<PieceTask> tasks = queue.takeLeastUrgent(known, upstream.freeMemory(known, now), now);
            if (!tasks.isEmpty()) {
                upstream.startProbe();
                send(upstream, tasks, known, false);
            }
        }
    }

    /** Returns the load of the pool. */
    PoolLoad load() {
        return upstreams.load(limits.get(), queue.pieces(), timers.nanoTime());
    }

    PoolWork work() {
        return work.withSplitGroups(queue.splits());
    }

    int waitingPieces() {
        return queue.pieces();
    }

    private void send(StageUpstream upstream, List<PieceTask> tasks, BatchLimits known, boolean resumedOnly) {
        long now = timers.nanoTime();
        long expected = known.expectedNanos(tasks.size());
        upstreams.recordCall(upstream);
        upstream.onSent(now + (long) (expected * upstreams.slowness(upstream, now)));
        tasks.forEach(task -> running.merge(task.group(), 1, Integer::sum));
        inputs.releaseOnceFetched(tasks, known, now);
        resumedCalls.onSent(resumedOnly);
        double pace = upstreams.pace(upstream, now);
        long timeout = upstream.timeoutNanos(expected, pace) / NANOS_PER_MILLI + FETCH_ALLOWANCE.toMillis();
        callLogger.sent(upstream, tasks, queue.pieces(), upstream.freeMemory(known, now), now);
        port.run(
                upstream.announced(),
                tasks.stream().map(task -> task.toItem(now)).toList(),
                timeout,
                result -> onCallEnded(upstream, tasks, result, new SentCall(expected, pace, now, resumedOnly)));
    }

    private void onCallEnded(StageUpstream upstream, List<PieceTask> tasks, StageCallResult result, SentCall call) {
        long now = timers.nanoTime();
        long sentAt = call.sentAt();
        boolean affectedByPause =
                pauseDetector.filter(detector -> detector.affects(sentAt, now)).isPresent();
        resumedCalls.onEnded(call.resumedOnly());
        tasks.forEach(task -> running.computeIfPresent(task.group(), (g, n) -> n > 1 ? n - 1 : null));
        if (result instanceof StageCallResult.Answered answered) {
            long tookNanos = now - sentAt;
            long made = answered.outcomes().stream()
                    .filter(PieceOutcome.Made.class::isInstance)
                    .count();
            work = work.plus((affectedByPause ? call.statedNanos() : tookNanos) / NANOS_PER_SECOND, made);
            if (affectedByPause) {
                upstream.onInconclusiveEnd();
            } else {
                upstream.onAnswered(call.statedNanos(), call.expectedNanos(upstreams.pace(upstream, now)), tookNanos);
                recordSpeed(upstream, now);
                inputs.updateFetchTime(tasks, answered.outcomes());
            }
            handleOutcomes(upstream, tasks, answered.outcomes(), now);
        } else if (result instanceof StageCallResult.NotRun notRun) {
            onRefused(upstream, tasks, notRun, now);
        } else if (result instanceof StageCallResult.Lost lost) {
            onLost(upstream, tasks, lost, affectedByPause, now - sentAt);
        } else if (result instanceof StageCallResult.BrokenOff brokenOff) {
            upstream.onInconclusiveEnd();
            callLogger.lost(upstream, tasks.size(), brokenOff.reason(), now - sentAt, 0);
            retry(tasks, MissReason.FAILED);
        }
        dispatch();
    }

    private void onRefused(StageUpstream upstream, List<PieceTask> tasks, StageCallResult.NotRun notRun, long now) {
        upstream.onRefused(now, upstreams.isCold(upstream, now) ? StageUpstream.COLD_PAUSE_NANOS : BUSY_PAUSE_NANOS);
        callLogger.refused(upstream, tasks.size(), notRun.reason());
        tasks.forEach(this::requeue);
    }

    private void onLost(
            StageUpstream upstream,
            List<PieceTask> tasks,
            StageCallResult.Lost lost,
            boolean affectedByPause,
            long tookNanos) {
        long pause = 0;
        if (affectedByPause) {
            // After a pause of this process, a missing response says nothing about the upstream.
            upstream.onInconclusiveEnd();
        } else {
            pause = upstream.onLost(timers.nanoTime());
        }
        callLogger.lost(upstream, tasks.size(), lost.reason(), tookNanos, pause);
        if (lost.connectionLost()) {
            splitter.split(tasks);
        }
        retry(tasks, MissReason.FAILED);
    }

    private void recordSpeed(StageUpstream upstream, long now) {
        boolean slow = upstreams.isSlow(upstream, now);
        if (upstream.recordSpeed(slow, now)) {
            callLogger.speedChanged(upstream, slow);
        }
    }

    private void handleOutcomes(StageUpstream upstream, List<PieceTask> tasks, List<PieceOutcome> outcomes, long now) {
        Map<WaitingGroup, List<PieceResult>> finished = new LinkedHashMap<>();
        List<PieceTask> failed = new ArrayList<>();
        for (int i = 0; i < tasks.size(); i++) {
            PieceTask task = tasks.get(i);
            PieceOutcome outcome = outcomes.get(i);
            if (outcome instanceof PieceOutcome.Made made) {
                onMade(upstream, task, made, now);
            }
            if (outcome.isMissedFor(MissReason.NO_ROOM)) {
                upstream.pause(now, ROOM_PAUSE_NANOS);
            }
            if (outcome.isMissedFor(MissReason.NO_ROOM) && task.group().hasInputs()) {
                requeue(task);
            } else if (outcome.isMissedFor(MissReason.FAILED)) {
                failed.add(task);
            } else if (outcome instanceof PieceOutcome.Made || !task.group().isWithdrawn()) {
                finished.computeIfAbsent(task.group(), g -> new ArrayList<>())
                        .add(PieceResult.reported(task.piece(), outcome, upstream.incarnation()));
            }
        }
        long freeBytes =
                limits.get().map(known -> upstream.freeMemory(known, now)).orElse(0L);
        callLogger.withoutRoom(upstream, outcomes, freeBytes, now);
        if (failed.size() * 2 > tasks.size()) {
            // A single failed piece may be accidental. An upstream that fails most pieces must not get the same ones
            // again at once.
            upstream.backOff(now);
        } else {
            upstream.recordSuccess();
        }
        retry(failed, MissReason.FAILED);
        finished.forEach((group, results) -> {
            if (!group.isCancelled()) {
                sink.deliver(
                        group.origin(), new PieceResultsMessage(group.group().id(), results));
            }
        });
    }

    private void onMade(StageUpstream upstream, PieceTask task, PieceOutcome.Made made, long now) {
        long retention = limits.get().map(BatchLimits::resultRetentionNanos).orElse(0L);
        upstream.addResult(task.group(), made.handle(), task.group().group().resultBytes(), now + retention);
        if (task.group().isCancelled()) {
            free(List.of(new StageResult(made.handle(), upstream.incarnation())));
        }
    }

    /** Requeues the pieces of a lost call, unless they were lost too often. */
    private void retry(List<PieceTask> tasks, MissReason reason) {
        Map<WaitingGroup, List<Integer>> byGroup = new LinkedHashMap<>();
        tasks.forEach(task ->
                byGroup.computeIfAbsent(task.group(), g -> new ArrayList<>()).add(task.piece()));
        byGroup.forEach((group, pieces) -> {
            if (!group.hasInputs()) {
                reportMissed(group, pieces, MissReason.INPUT_GONE);
            } else if (group.recordLoss() >= MAX_LOSSES) {
                reportMissed(group, pieces, reason);
            } else {
                pieces.forEach(piece -> requeue(new PieceTask(group, piece)));
            }
        });
    }

    private void requeue(PieceTask task) {
        if (!task.group().isDropped()) {
            task.group().missing().add(task.piece());
            queue.add(task.group());
        }
    }

    private void reportMissed(WaitingGroup group, List<Integer> pieces, MissReason reason) {
        inputs.release(group);
        if (group.isDropped() || pieces.isEmpty()) {
            return;
        }
        sink.deliver(group.origin(), PieceResultsMessage.missed(group.group().id(), pieces, reason));
    }

    /**
     * Schedules another dispatch while groups wait, to find upstreams whose pause has ended and groups whose deadline
     * has passed.
     */
    private void scheduleWake() {
        if (!queue.isEmpty()) {
            wake.schedule(BUSY_PAUSE_NANOS);
        }
    }
}
