package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;

/**
 * Packs the calls of one pool. A call is formed at the last moment, when an upstream is free, so that all that has come
 * by then goes into it and the most urgent of it first. While the pool keeps up, pieces hardly wait and calls are small;
 * as it fills, more gather while calls run, and calls grow up to their limit, where the pool makes most.
 */
final class PoolDispatcher {

    private static final Logger LOGGER = LogManager.getLogger(PoolDispatcher.class);

    /** Added to the time that a call may take for fetching inputs over loaded links, and for packets that are sent again. */
    private static final Duration FETCH = Duration.ofMillis(250);

    /** Pause of an upstream that refused a call because others call it as well: a fraction of a call. */
    private static final long BUSY_PAUSE_NANOS = Duration.ofMillis(60).toNanos();

    /** Pause of an upstream without memory for results; callers free them within a fraction of a second. */
    private static final long ROOM_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

    /** A piece is made so often at most: each failure of its maker costs it a call's time. */
    private static final int MAX_LOSSES = 3;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final String pool;
    private final UpstreamDirectory directory;
    private final TimerService timers;
    private final StagePort port;
    private final Supplier<Optional<BatchLimits>> limits;
    private final ResultSink sink;
    private final DecisionLog log;
    private final PieceQueue queue = new PieceQueue();
    private final PoolUpstreams upstreams;
    private final Map<WaitingGroup, Integer> running = new HashMap<>();
    private final FreedResults freed;
    private final DeferredTask wake;
    private final CallParting parting = new CallParting();
    private final FetchTimeEstimator fetchTime = new FetchTimeEstimator();
    private Optional<PauseDetector> standstills = Optional.empty();
    private PoolWork work = PoolWork.NONE;

    PoolDispatcher(
            String pool,
            UpstreamDirectory directory,
            TimerService timers,
            StagePort port,
            Supplier<Optional<BatchLimits>> limits,
            ResultSink sink,
            DecisionLog log) {
        this.pool = pool;
        this.directory = directory;
        this.timers = timers;
        this.port = port;
        this.limits = limits;
        this.sink = sink;
        this.log = log;
        this.upstreams = new PoolUpstreams(pool, directory);
        this.freed = new FreedResults(upstreams, timers, port, this::dispatch);
        this.wake = new DeferredTask(timers, this::dispatch);
    }

    /** Sets what tells whether this process stood still while a call was under way; without it, it never did. */
    PoolDispatcher judgingBy(PauseDetector watch) {
        standstills = Optional.of(watch);
        return this;
    }

    /** Sets what bounds the calls of upstreams; without it, nothing does. */
    PoolDispatcher limitCallsWith(CallAdmission bound) {
        upstreams.limitCallsWith(bound);
        return this;
    }

    void add(String origin, PieceGroup group) {
        queue.add(new WaitingGroup(origin, group, timers.nanoTime()));
        dispatch();
    }

    /**
     * Drops all groups of other nodes; results of calls that run for them are given up as they come.
     *
     * @param self the node whose groups stay
     * @return how many were dropped
     */
    int dropOthers(String self) {
        Predicate<WaitingGroup> isOther = group -> !group.origin().equals(self) && !group.isCancelled();
        List<WaitingGroup> waiting = queue.find(isOther);
        List<WaitingGroup> made = running.keySet().stream().filter(isOther).toList();
        waiting.forEach(group -> cancel(group.origin(), group.group().id()));
        made.forEach(WaitingGroup::cancel);
        return waiting.size() + made.size();
    }

    /** Drops what waits of a group; what is being made is freed when it comes. */
    void cancel(String origin, long id) {
        queue.cancel(origin, id).ifPresent(this::giveUpInputs);
        running.keySet().stream()
                .filter(g -> g.origin().equals(origin) && g.group().id() == id)
                .forEach(WaitingGroup::cancel);
    }

    /**
     * Drops what waits for a node that is gone. The node may be back in a new life, whose groups stay.
     *
     * @param origin the node
     * @param until  when it was lost, monotonic time in nanoseconds
     * @return results that were made for it, and that nobody else will give up
     */
    List<String> forget(String origin, long until) {
        Predicate<WaitingGroup> isOld = group -> group.origin().equals(origin) && group.arrivedAt() - until <= 0;
        queue.find(isOld).forEach(group -> cancel(origin, group.group().id()));
        running.keySet().stream().filter(isOld).forEach(WaitingGroup::cancel);
        return upstreams.all().stream()
                .flatMap(upstream -> upstream.madeFor(isOld).stream())
                .toList();
    }

    void free(List<String> handles) {
        freed.add(handles);
    }

    /** Called when the upstreams of the pool changed. */
    void dispatch() {
        Optional<BatchLimits> known = limits.get();
        if (known.isEmpty()) {
            return;
        }
        long now = timers.nanoTime();
        queue.takeOver(now).forEach(group -> miss(group, group.missing(), MissReason.LATE));
        upstreams.refresh();
        List<StageUpstream> slow = upstreams.leftAlone(now);
        List<StageUpstream> free = upstreams.callable(known.get(), now);
        slow.retainAll(free);
        free.removeAll(slow);
        while (!free.isEmpty() && !queue.isEmpty()) {
            StageUpstream upstream = free.remove(0);
            CallBounds bounds = new CallBounds(
                    (queue.pieces() + free.size()) / (free.size() + 1),
                    upstream.roomLeft(known.get(), now),
                    upstreams.isBehind(known.get(), queue.pieces(), now));
            List<PieceTask> tasks =
                    queue.take(known.get(), bounds, now, group -> isFor(group, upstream, now, known.get()));
            if (!tasks.isEmpty()) {
                send(upstream, tasks, known.get());
            }
        }
        trySlowOnes(slow, known.get(), now);
        wakeLater();
    }

    /**
     * Gives slow upstreams that are left alone one small call each, now and then. Nothing else can show that they are sound
     * again, and under load another one is always busy: upstreams that had been slow for a moment stayed unused as long as the
     * load lasted, and callers were refused. The call has the least urgent group, since what goes to an upstream that is
     * still slow comes late.
     */
    private void trySlowOnes(List<StageUpstream> slow, BatchLimits known, long now) {
        for (StageUpstream upstream : slow) {
            if (queue.isEmpty() || !upstream.isFree(known, now) || !upstream.isTrialDue(now)) {
                continue;
            }
            List<PieceTask> tasks = queue.takeLeastUrgent(known, upstream.roomLeft(known, now), now);
            if (!tasks.isEmpty()) {
                upstream.tried();
                send(upstream, tasks, known);
            }
        }
    }

    /** Returns how loaded the pool is. */
    PoolLoad load() {
        return upstreams.load(limits.get(), queue.pieces(), timers.nanoTime());
    }

    PoolWork work() {
        return work;
    }

    int waitingPieces() {
        return queue.pieces();
    }

    /**
     * Says whether a group should go to an upstream now. One with large inputs or results waits a while for an upstream in the
     * failure domain where they were made or will be read, as far as its request stays on time: bytes between failure
     * domains are what stage work costs most.
     */
    private boolean isFor(WaitingGroup group, StageUpstream upstream, long now, BatchLimits known) {
        long wait = group.nearWaitNanos(known);
        if (now - group.arrivedAt() >= wait) {
            return true;
        }
        Optional<String> domain = group.isDrawnToReader()
                ? Optional.of(group.group().readerDomain())
                : group.group().inputs().stream().findFirst().flatMap(this::domainOf);
        return domain.isEmpty()
                || domain.get().equals(upstream.news().failureDomain())
                || !upstreams.isSoonFree(domain.get(), group.arrivedAt() + wait - now, now);
    }

    private Optional<String> domainOf(String handle) {
        return ResultHandle.producerAddress(handle)
                .flatMap(directory::findByAddress)
                .map(UpstreamRecord::failureDomain);
    }

    private void send(StageUpstream upstream, List<PieceTask> tasks, BatchLimits known) {
        long now = timers.nanoTime();
        long expected = known.expectedNanos(tasks.size());
        upstreams.calls(upstream);
        upstream.started(now + (long) (expected * upstream.slowness()));
        tasks.forEach(task -> running.merge(task.group(), 1, Integer::sum));
        long fetched = fetchTime.nanos(known, inputBytes(tasks));
        tasks.stream().map(PieceTask::group).distinct().forEach(group -> giveUpFetched(group, now, fetched));
        long timeout = upstream.patienceNanos(expected) / NANOS_PER_MILLI + FETCH.toMillis();
        if (log.takesServed(now)) {
            LOGGER.info(
                    "event=stage-call pool={} upstream={} pieces={} waiting={} room_left={} requests={}",
                    pool,
                    upstream.news().id(),
                    tasks.size(),
                    queue.pieces(),
                    upstream.roomLeft(known, now),
                    tasks.stream()
                            .map(t -> t.group().group().requestId())
                            .distinct()
                            .toList());
        }
        port.run(
                upstream.news(),
                tasks.stream().map(task -> task.item(now)).toList(),
                timeout,
                result -> ended(upstream, tasks, result, expected, now));
    }

    private void ended(
            StageUpstream upstream, List<PieceTask> tasks, StageCallResult result, long expected, long sentAt) {
        long now = timers.nanoTime();
        boolean spoiled = standstills.filter(watch -> watch.spoils(sentAt, now)).isPresent();
        tasks.forEach(task -> running.computeIfPresent(task.group(), (g, n) -> n > 1 ? n - 1 : null));
        if (result instanceof StageCallResult.Answered answered) {
            long tookNanos = now - sentAt;
            long made = answered.outcomes().stream()
                    .filter(PieceOutcome.Made.class::isInstance)
                    .count();
            work = work.and((spoiled ? expected : tookNanos) / NANOS_PER_SECOND, made);
            if (spoiled) {
                upstream.ended();
            } else {
                upstream.answered(expected, tookNanos);
                noteSpeed(upstream, now);
                learnFetchTime(tasks, answered.outcomes());
            }
            take(upstream, tasks, answered.outcomes(), now);
        } else if (result instanceof StageCallResult.NotRun notRun) {
            refused(upstream, tasks, notRun, now);
        } else if (result instanceof StageCallResult.Lost lost) {
            lost(upstream, tasks, lost, spoiled, now - sentAt);
        }
        dispatch();
    }

    private void refused(StageUpstream upstream, List<PieceTask> tasks, StageCallResult.NotRun notRun, long now) {
        upstream.notRun(now, upstreams.isCold(upstream, now) ? StageUpstream.COLD_PAUSE_NANOS : BUSY_PAUSE_NANOS);
        LOGGER.info(
                "event=stage-call-refused pool={} upstream={} pieces={} reason={}",
                pool,
                upstream.news().id(),
                tasks.size(),
                notRun.reason());
        tasks.forEach(this::putBack);
    }

    private void lost(
            StageUpstream upstream, List<PieceTask> tasks, StageCallResult.Lost lost, boolean spoiled, long tookNanos) {
        long pause = 0;
        if (spoiled) {
            // After a standstill of this process a call that has no answer proves nothing.
            upstream.ended();
        } else {
            pause = upstream.lost(timers.nanoTime());
        }
        LOGGER.warn(
                "event=stage-call-lost pool={} upstream={} pieces={} reason={} took_ms={} pause_ms={}",
                pool,
                upstream.news().id(),
                tasks.size(),
                lost.reason(),
                tookNanos / NANOS_PER_MILLI,
                pause / NANOS_PER_MILLI);
        if (lost.connectionLost()) {
            parting.part(tasks);
        }
        again(tasks, MissReason.FAILED);
    }

    private void noteSpeed(StageUpstream upstream, long now) {
        boolean slow = upstreams.isSlow(upstream, now);
        if (upstream.found(slow, now)) {
            LOGGER.info(
                    "event=stage-upstream-{} pool={} upstream={} slowness={}",
                    slow ? "slow" : "sound",
                    pool,
                    upstream.news().id(),
                    Math.round(upstream.slowness() * 10) / 10.0);
        }
    }

    private void take(StageUpstream upstream, List<PieceTask> tasks, List<PieceOutcome> outcomes, long now) {
        Map<WaitingGroup, List<PieceResult>> finished = new LinkedHashMap<>();
        List<PieceTask> failed = new ArrayList<>();
        for (int i = 0; i < tasks.size(); i++) {
            PieceTask task = tasks.get(i);
            PieceOutcome outcome = outcomes.get(i);
            if (outcome instanceof PieceOutcome.Made made) {
                made(upstream, task, made, now);
            }
            if (outcome.isMissedFor(MissReason.NO_ROOM)) {
                upstream.pause(now, ROOM_PAUSE_NANOS);
            }
            if (outcome.isMissedFor(MissReason.NO_ROOM) && task.group().hasInputs()) {
                putBack(task);
            } else if (outcome.isMissedFor(MissReason.FAILED)) {
                failed.add(task);
            } else {
                finished.computeIfAbsent(task.group(), g -> new ArrayList<>())
                        .add(new PieceResult(task.piece(), told(outcome)));
            }
        }
        noteRoom(upstream, outcomes, now);
        if (failed.size() * 2 > tasks.size()) {
            // One piece that fails can be bad luck; an upstream that fails most would get the same pieces again at
            // once.
            upstream.failing(now);
        } else {
            upstream.recordSuccess();
        }
        again(failed, MissReason.FAILED);
        finished.forEach((group, results) -> {
            if (!group.isCancelled()) {
                sink.deliver(
                        group.origin(), new PieceResultsMessage(group.group().id(), results));
            }
        });
    }

    private void noteRoom(StageUpstream upstream, List<PieceOutcome> outcomes, long now) {
        long missed = outcomes.stream()
                .filter(outcome -> outcome.isMissedFor(MissReason.NO_ROOM))
                .count();
        if (missed > 0 && log.takesFailed(now)) {
            LOGGER.info(
                    "event=stage-call-without-room pool={} upstream={} pieces={} missed={} room_left={}",
                    pool,
                    upstream.news().id(),
                    outcomes.size(),
                    missed,
                    limits.get().map(known -> upstream.roomLeft(known, now)).orElse(0L));
        }
    }

    /**
     * Returns what a request is told of a piece. One that found no room was put back unless its inputs are given up: sent
     * again without them, it would only be told so by the next call.
     */
    private static PieceOutcome told(PieceOutcome outcome) {
        return outcome.isMissedFor(MissReason.NO_ROOM) ? new PieceOutcome.Missed(MissReason.INPUT_GONE) : outcome;
    }

    private void made(StageUpstream upstream, PieceTask task, PieceOutcome.Made made, long now) {
        long kept = limits.get().map(BatchLimits::resultRetentionNanos).orElse(0L);
        upstream.holds(task.group(), made.handle(), task.group().group().resultBytes(), now + kept);
        if (task.group().isCancelled()) {
            free(List.of(made.handle()));
        }
    }

    private static long inputBytes(List<PieceTask> tasks) {
        return tasks.stream()
                .mapToLong(task -> task.group().group().inputBytes())
                .sum();
    }

    /** Gives the inputs of a group up once the upstream has fetched them. */
    private void giveUpFetched(WaitingGroup group, long now, long fetchNanos) {
        group.sent(now);
        if (group.group().ownsInputs()) {
            timers.schedule(fetchNanos, () -> {
                if (group.hasFetched(timers.nanoTime(), fetchNanos)) {
                    giveUpInputs(group);
                }
            });
        }
    }

    /** Learns from a call whose inputs may have been given up while it ran. */
    private void learnFetchTime(List<PieceTask> tasks, List<PieceOutcome> outcomes) {
        boolean tooEarly = false;
        for (int i = 0; i < tasks.size(); i++) {
            tooEarly |= outcomes.get(i).isMissedFor(MissReason.INPUT_GONE)
                    && !tasks.get(i).group().hasInputs();
        }
        if (tooEarly) {
            fetchTime.recordEarlyRelease();
            LOGGER.info("event=inputs-given-up-early pool={} pieces={}", pool, tasks.size());
        } else {
            fetchTime.recordSuccess();
        }
    }

    private void giveUpInputs(WaitingGroup group) {
        List<String> inputs = group.takeInputs();
        if (!inputs.isEmpty()) {
            sink.giveUp(inputs);
        }
    }

    /** Makes pieces of a lost call again, unless they were lost too often. */
    private void again(List<PieceTask> tasks, MissReason reason) {
        Map<WaitingGroup, List<Integer>> byGroup = new LinkedHashMap<>();
        tasks.forEach(task ->
                byGroup.computeIfAbsent(task.group(), g -> new ArrayList<>()).add(task.piece()));
        byGroup.forEach((group, pieces) -> {
            if (!group.hasInputs()) {
                miss(group, pieces, MissReason.INPUT_GONE);
            } else if (group.lost() >= MAX_LOSSES) {
                miss(group, pieces, reason);
            } else {
                pieces.forEach(piece -> putBack(new PieceTask(group, piece)));
            }
        });
    }

    private void putBack(PieceTask task) {
        if (!task.group().isCancelled()) {
            task.group().missing().add(task.piece());
            queue.add(task.group());
        }
    }

    private void miss(WaitingGroup group, List<Integer> pieces, MissReason reason) {
        giveUpInputs(group);
        if (group.isCancelled() || pieces.isEmpty()) {
            return;
        }
        List<PieceResult> results = pieces.stream()
                .map(piece -> new PieceResult(piece, new PieceOutcome.Missed(reason)))
                .toList();
        sink.deliver(group.origin(), new PieceResultsMessage(group.group().id(), results));
    }

    /** Looks again while something waits: for an upstream whose pause ends, and for groups whose time runs out. */
    private void wakeLater() {
        if (!queue.isEmpty()) {
            wake.schedule(BUSY_PAUSE_NANOS);
        }
    }

    /** Takes outcomes to the node that waits for them, and inputs that nobody needs to the nodes of their pools. */
    interface ResultSink {
        /**
         * Delivers outcomes.
         *
         * @param origin  node that sent the group
         * @param results the outcomes
         */
        void deliver(String origin, PieceResultsMessage results);

        /**
         * Gives results of other pools up.
         *
         * @param handles their handles
         */
        void giveUp(List<String> handles);
    }
}
