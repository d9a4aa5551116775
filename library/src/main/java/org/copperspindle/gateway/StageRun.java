package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.copperspindle.admission.StageTimeEstimator;
import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.FetchTimeEstimator;
import org.copperspindle.batch.MissReason;
import org.copperspindle.batch.PieceGroup;
import org.copperspindle.batch.PieceOutcome;
import org.copperspindle.batch.PieceResult;
import org.copperspindle.batch.StageResult;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteStage;
import org.copperspindle.stage.StageInputs;
import org.copperspindle.stage.StagePlan;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Runs the stages of one request. Each stage starts as soon as its inputs are complete, and results are released as
 * soon as they are no longer needed, because they occupy scarce memory at their producers.
 */
final class StageRun {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Objectives within which a request must end that starts too late for its own: it comes after requests that can
     * be in time, but not last.
     */
    private static final double LATE_TARGET_OBJECTIVES = 1.5;

    /** A stage that is due within this time starts immediately: a timer would cost more than it saves. */
    private static final long MIN_DELAY_NANOS = Duration.ofMillis(20).toNanos();

    private final AdmittedRequest admitted;
    private final Optional<String> readerDomain;
    private final long firstEventNanos;
    private final Route route;
    private final BatchService batches;
    private final TimerService timers;
    private final Listener listener;
    private final StagePlan plan;
    private final Set<Long> openGroups = new HashSet<>();
    private final Set<Integer> expectedStages = new HashSet<>();
    private final Map<Integer, Long> expectedEndAt = new HashMap<>();
    private long targetAt;
    private TimerSubscription nextCheck = () -> {};
    private long nextCheckAt;
    private boolean done;
    private boolean released;

    /**
     * Creates the run.
     *
     * @param admitted        the request
     * @param readerDomain    failure domain of the upstream that will probably get the request; empty if there is
     *     none
     * @param firstEventNanos expected time from the attempt to its first event, after the stages
     * @param batches         batches pieces into calls
     * @param timers          time on the network thread
     * @param listener        receives the end of the stages
     */
    StageRun(
            AdmittedRequest admitted,
            Optional<String> readerDomain,
            long firstEventNanos,
            BatchService batches,
            TimerService timers,
            Listener listener) {
        this.admitted = admitted;
        this.readerDomain = readerDomain;
        this.firstEventNanos = firstEventNanos;
        this.route = admitted.route();
        this.batches = batches;
        this.timers = timers;
        this.listener = listener;
        this.plan = new StagePlan(route.stages(), admitted.request().pieces());
    }

    /** Starts the stages that have no inputs. */
    void start() {
        targetAt = targetEnd(timers.nanoTime());
        for (int stage = 0; stage < plan.stages(); stage++) {
            if (plan.pieces(stage) > 0) {
                batches.addExpectedPieces(admitted.stagePool(stage), plan.pieces(stage));
                expectedStages.add(stage);
            }
        }
        proceed();
    }

    /** Returns the result handles that the request needs, once all stages are complete. */
    List<String> results() {
        return StageResult.handles(plan.results());
    }

    /** Returns the same results with their sizes. */
    StageInputs inputs() {
        return plan.requestInputs();
    }

    /**
     * Returns the time after which the upstream of an attempt has fetched the results, over the slowest link of the
     * pools that produced any.
     */
    long fetchNanos(FetchTimeEstimator fetches) {
        long bytes = inputs().totalBytes();
        return IntStream.range(0, plan.stages())
                .filter(stage -> plan.pieces(stage) > 0)
                .mapToObj(admitted::stageLimits)
                .flatMap(Optional::stream)
                .mapToLong(limits -> fetches.nanos(limits, bytes))
                .max()
                .orElse(0);
    }

    /** Releases all results: the request has read what it needs, or has ended. */
    void releaseAll() {
        released = true;
        nextCheck.cancel();
        expectedStages.forEach(stage -> batches.addExpectedPieces(admitted.stagePool(stage), -plan.pieces(stage)));
        expectedStages.clear();
        openGroups.forEach(batches::cancel);
        openGroups.clear();
        releaseUnneeded(true);
    }

    /** Returns whether the results were released. */
    boolean isReleased() {
        return released;
    }

    /**
     * Returns the target end of the request. Queued behind all requests that can be in time, a late one would hold
     * its results until its producers drop them. A resumed one keeps its time: the dispatcher puts it first anyway, and
     * tells by that time whether it is late.
     */
    private long targetEnd(long now) {
        long objectiveAt = admitted.times().objectiveAt();
        if (admitted.times().resumed()) {
            return objectiveAt;
        }
        long shortest = plan.finish((stage, start) -> StageTimeEstimator.expectedNanos(admitted, plan, stage))
                + firstEventNanos;
        boolean late = now + shortest - objectiveAt > 0;
        return late ? now + (long) (route.objective().toNanos() * LATE_TARGET_OBJECTIVES) : objectiveAt;
    }

    private void proceed() {
        if (released) {
            return;
        }
        nextCheck.cancel();
        nextCheckAt = Long.MAX_VALUE;
        for (int stage : plan.startReady(this::isDue)) {
            batches.addExpectedPieces(admitted.stagePool(stage), -plan.pieces(stage));
            expectedStages.remove(stage);
            submit(stage);
        }
        releaseUnneeded(false);
        if (plan.isComplete() && !done) {
            // A second call would send the request to two upstreams.
            done = true;
            listener.onStagesDone();
        }
    }

    /**
     * Returns whether a stage should start now; if not, schedules another check. A stage whose results only the
     * upstream reads, next to a longer chain of stages, starts when it will end at about the same time as the chain.
     * Started immediately, its results occupy the memory of their producers for the whole duration of the chain, and
     * two of three producers of large results had no memory left.
     */
    private boolean isDue(int stage) {
        if (plan.hasReader(stage)) {
            return true;
        }
        long now = timers.nanoTime();
        long parallel = plan.longestParallel(stage, other -> remainingNanos(other, now), this::durationNanos);
        long delay = parallel - durationNanos(stage) - marginNanos(stage);
        if (delay < MIN_DELAY_NANOS) {
            return true;
        }
        scheduleCheck(now + delay);
        return false;
    }

    /**
     * Schedules another check of stages that are not due. Only the earliest check is kept, since it schedules the
     * next one.
     */
    private void scheduleCheck(long at) {
        if (at < nextCheckAt) {
            nextCheck.cancel();
            nextCheckAt = at;
            nextCheck = timers.schedule(at - timers.nanoTime(), this::proceed);
        }
    }

    /** Returns the duration of a stage, including the present wait of its pool. */
    private long durationNanos(int stage) {
        return StageTimeEstimator.expectedNanos(admitted, plan, stage)
                + batches.load(admitted.stagePool(stage)).waitNanos();
    }

    /**
     * Returns the remaining time of a stage by the duration expected when it started. By the present wait of its pool
     * its own call would count twice, and a stage next to it would start too late.
     */
    private long remainingNanos(int stage, long now) {
        Long doneAt = expectedEndAt.get(stage);
        return doneAt == null ? durationNanos(stage) : Math.max(0, doneAt - now);
    }

    /**
     * Returns half a full call of a stage's pool: the wait of the pool can change by that much before the stage
     * starts.
     */
    private long marginNanos(int stage) {
        return admitted.stageLimits(stage)
                .map(limits -> limits.fullCallNanos() / 2)
                .orElse(0L);
    }

    private void submit(int number) {
        RouteStage stage = route.stages().get(number);
        long now = timers.nanoTime();
        expectedEndAt.put(number, now + durationNanos(number));
        long remainingAfter =
                plan.longestAfter(number, s -> StageTimeEstimator.expectedNanos(admitted, plan, s)) + firstEventNanos;
        long id = batches.nextId();
        openGroups.add(id);
        boolean first = stage.after().isEmpty();
        boolean ownsInputs = plan.isOnlyReader(number);
        PieceGroup group = new PieceGroup(
                id,
                admitted.request().id(),
                number,
                stage.pool(),
                plan.pieces(number),
                IntStream.range(0, plan.pieces(number)).boxed().toList(),
                first ? admitted.request().pieceKey() : "",
                first ? List.of() : plan.inputs(number),
                admitted.rank(),
                (targetAt - remainingAfter - now) / NANOS_PER_MILLI,
                (admitted.times().callerTimeoutAt() - now) / NANOS_PER_MILLI,
                stage.resultBytes(),
                inputBytes(stage),
                plan.hasReader(number) ? "" : readerDomain.orElse(""),
                ownsInputs,
                admitted.times().resumed());
        if (ownsInputs) {
            plan.markInputsReleased(number);
        }
        batches.submit(group, results -> onResults(id, number, results));
    }

    private long inputBytes(RouteStage stage) {
        return stage.after().stream()
                .mapToLong(n -> plan.pieces(n) * route.stages().get(n).resultBytes())
                .sum();
    }

    private void onResults(long id, int stage, List<PieceResult> results) {
        if (released) {
            return;
        }
        for (PieceResult result : results) {
            Optional<StageResult> made = result.made();
            if (made.isPresent()) {
                plan.setResult(stage, result.piece(), made.get());
            } else if (result.outcome() instanceof PieceOutcome.Missed missed) {
                listener.onMissed(stage, missed.reason());
                return;
            }
        }
        if (plan.isDone(stage)) {
            openGroups.remove(id);
            proceed();
        }
    }

    private void releaseUnneeded(boolean requestDone) {
        for (int stage : plan.takeReleasable(requestDone)) {
            batches.releaseResults(route.stages().get(stage).pool(), plan.availableResults(stage));
        }
    }

    /** Receives the end of the stages. */
    interface Listener {

        /** Called when all results are available. */
        void onStagesDone();

        /**
         * Called when a piece will not be produced.
         *
         * @param stage  number of its stage
         * @param reason why
         */
        void onMissed(int stage, MissReason reason);
    }
}
