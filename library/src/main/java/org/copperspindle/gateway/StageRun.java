package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.FetchTimeEstimator;
import org.copperspindle.batch.MissReason;
import org.copperspindle.batch.PieceGroup;
import org.copperspindle.batch.PieceOutcome;
import org.copperspindle.batch.PieceResult;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteStage;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Has the pieces of one request's stages made, each stage as soon as those before it are done, and gives results up as
 * soon as nobody needs them: they hold scarce memory at their makers.
 */
final class StageRun {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Objectives that a request gets which begins too late for its own: after those that can be on time, but not last. */
    private static final double LATE_OBJECTIVES = 1.5;

    /** A stage that should begin within so little time begins now: a timer costs more than it saves. */
    private static final long EARLY_NANOS = Duration.ofMillis(20).toNanos();

    private final AdmittedRequest admitted;
    private final Optional<String> readerDomain;
    private final long firstEventNanos;
    private final Route route;
    private final BatchService batches;
    private final TimerService timers;
    private final Listener listener;
    private final StagePlan plan;
    private final Set<Long> open = new HashSet<>();
    private final Set<Integer> promised = new HashSet<>();
    private final Map<Integer, Long> expectedAt = new HashMap<>();
    private long targetAt;
    private TimerSubscription nextLook = () -> {};
    private long nextLookAt;
    private boolean done;
    private boolean over;

    /**
     * Prepares the stages.
     *
     * @param admitted        the request
     * @param readerDomain    failure domain of the upstream that is meant to have the request; empty if none is
     * @param firstEventNanos how long that upstream takes after the stages
     * @param batches         makes the pieces
     * @param timers          time on the network thread
     * @param listener        waits for the stages
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

    /** Begins the stages that need no others. */
    void start() {
        targetAt = target(timers.nanoTime());
        for (int stage = 0; stage < plan.stages(); stage++) {
            if (plan.pieces(stage) > 0) {
                batches.addExpectedPieces(admitted.stagePool(stage), plan.pieces(stage));
                promised.add(stage);
            }
        }
        proceed();
    }

    /** Returns the handles that the request needs; once all stages are done. */
    List<String> results() {
        return plan.results();
    }

    /** Returns the same results with their sizes. */
    StageInputs inputs() {
        return plan.inputsOfRequest();
    }

    /**
     * Returns after which time from the sending of an attempt its upstream has fetched the results, over the slowest link of
     * the pools that made any.
     */
    long fetchNanos(FetchTimeEstimator fetches) {
        long bytes = inputs().total();
        return IntStream.range(0, plan.stages())
                .filter(stage -> plan.pieces(stage) > 0)
                .mapToObj(admitted::stageLimits)
                .flatMap(Optional::stream)
                .mapToLong(limits -> fetches.nanos(limits, bytes))
                .max()
                .orElse(0);
    }

    /** Gives up all results: the request has read what it needs, or is over. */
    void end() {
        over = true;
        nextLook.cancel();
        promised.forEach(stage -> batches.addExpectedPieces(admitted.stagePool(stage), -plan.pieces(stage)));
        promised.clear();
        open.forEach(batches::cancel);
        open.clear();
        free(true);
    }

    /** Says whether the results were given up. */
    boolean isOver() {
        return over;
    }

    /** Behind all that can be on time, a request that begins late would hold its results until they are forgotten. */
    private long target(long now) {
        long objectiveAt = admitted.times().objectiveAt();
        long shortest =
                plan.finish((stage, begin) -> StageForecaster.expectedNanos(admitted, plan, stage)) + firstEventNanos;
        boolean late = now + shortest - objectiveAt > 0;
        return late ? now + (long) (route.objective().toNanos() * LATE_OBJECTIVES) : objectiveAt;
    }

    private void proceed() {
        if (over) {
            return;
        }
        nextLook.cancel();
        nextLookAt = Long.MAX_VALUE;
        for (int stage : plan.begin(this::isDue)) {
            batches.addExpectedPieces(admitted.stagePool(stage), -plan.pieces(stage));
            promised.remove(stage);
            submit(stage);
        }
        free(false);
        if (plan.isComplete() && !done) {
            // Told twice, the request would go to two upstreams.
            done = true;
            listener.onStagesDone();
        }
    }

    /**
     * Says whether a stage should begin, and looks again when it should. One whose results only the upstream reads, beside a
     * longer chain of stages, begins when it will be done about as soon as that: begun at once, its results fill their
     * makers' memory for as long as the whole chain takes, and two of three makers of large results had no room for more.
     */
    private boolean isDue(int stage) {
        if (plan.isFollowed(stage)) {
            return true;
        }
        long now = timers.nanoTime();
        long beside = plan.longestBeside(stage, other -> leftNanos(other, now), this::costNanos);
        long early = beside - costNanos(stage) - reserveNanos(stage);
        if (early < EARLY_NANOS) {
            return true;
        }
        lookAgain(now + early);
        return false;
    }

    /** Has stages that are not due looked at again; the soonest look is enough, since it asks for the next one. */
    private void lookAgain(long at) {
        if (at < nextLookAt) {
            nextLook.cancel();
            nextLookAt = at;
            nextLook = timers.schedule(at - timers.nanoTime(), this::proceed);
        }
    }

    /** Returns how long a stage takes, with the time that its pieces wait now. */
    private long costNanos(int stage) {
        return StageForecaster.expectedNanos(admitted, plan, stage)
                + batches.load(admitted.stagePool(stage)).waitNanos();
    }

    /**
     * Returns what is left of a stage by what it was expected to take when it began. By the wait of its pool now, its own call
     * would count twice, and a stage beside it would begin too late.
     */
    private long leftNanos(int stage, long now) {
        Long doneAt = expectedAt.get(stage);
        return doneAt == null ? costNanos(stage) : Math.max(0, doneAt - now);
    }

    /** Returns half a full call of a stage's pool: by so much its wait can change before it begins. */
    private long reserveNanos(int stage) {
        return admitted.stageLimits(stage)
                .map(limits -> limits.fullCallNanos() / 2)
                .orElse(0L);
    }

    private void submit(int number) {
        RouteStage stage = route.stages().get(number);
        long now = timers.nanoTime();
        expectedAt.put(number, now + costNanos(number));
        long later = plan.longestAfter(number, s -> StageForecaster.expectedNanos(admitted, plan, s)) + firstEventNanos;
        long id = batches.nextId();
        open.add(id);
        boolean first = stage.after().isEmpty();
        boolean ownsInputs = plan.readsAlone(number);
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
                (targetAt - later - now) / NANOS_PER_MILLI,
                (admitted.times().patienceAt() - now) / NANOS_PER_MILLI,
                stage.resultBytes(),
                inputBytes(stage),
                plan.isFollowed(number) ? "" : readerDomain.orElse(""),
                ownsInputs);
        if (ownsInputs) {
            plan.handOverInputs(number);
        }
        batches.submit(group, results -> received(id, number, results));
    }

    private long inputBytes(RouteStage stage) {
        return stage.after().stream()
                .mapToLong(n -> plan.pieces(n) * route.stages().get(n).resultBytes())
                .sum();
    }

    private void received(long id, int stage, List<PieceResult> results) {
        if (over) {
            return;
        }
        for (PieceResult result : results) {
            if (result.outcome() instanceof PieceOutcome.Made made) {
                plan.made(stage, result.piece(), made.handle());
            } else if (result.outcome() instanceof PieceOutcome.Missed missed) {
                listener.onMissed(stage, missed.reason());
                return;
            }
        }
        if (plan.isDone(stage)) {
            open.remove(id);
            proceed();
        }
    }

    private void free(boolean requestDone) {
        for (int stage : plan.takeFreeable(requestDone)) {
            batches.free(route.stages().get(stage).pool(), plan.made(stage));
        }
    }

    /** Waits for the stages. */
    interface Listener {

        /** All results are there. */
        void onStagesDone();

        /**
         * A piece will not be made.
         *
         * @param stage  number of its stage
         * @param reason why
         */
        void onMissed(int stage, MissReason reason);
    }
}
