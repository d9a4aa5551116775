package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.copperspindle.stage.StageInputs;
import org.copperspindle.time.TimerSubscription;

/**
 * The stages of one request. They run again when their results are gone before an upstream has read them, and when
 * another attempt needs results that were released.
 */
final class RequestStages {

    /** Runs in all, unless a stream is resumed: results that are lost twice mean that their producers have a fault. */
    private static final int MAX_RUNS = 2;

    /**
     * Runs that may follow a loss of results for one attempt that resumes a stream. The run before the attempt is not
     * counted, since the attempts of the route are limited.
     */
    private static final int MAX_RUNS_AFTER_LOSS = 1;

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final StreamResumption resumption;
    private final Supplier<Optional<String>> readerDomain;
    private final StageRun.Listener listener;
    private Optional<StageRun> current = Optional.empty();
    private int runs;
    private int runsAfterLoss;
    private TimerSubscription releaseTimer = () -> {};

    /**
     * Creates the stages of a request.
     *
     * @param context      the shared components
     * @param admitted     the request
     * @param resumption   whether its stream is interrupted
     * @param readerDomain returns the failure domain of the upstream that will probably get the request
     * @param listener     receives the end of each run
     */
    RequestStages(
            GatewayContext context,
            AdmittedRequest admitted,
            StreamResumption resumption,
            Supplier<Optional<String>> readerDomain,
            StageRun.Listener listener) {
        this.context = context;
        this.admitted = admitted;
        this.resumption = resumption;
        this.readerDomain = readerDomain;
        this.listener = listener;
    }

    /** Starts all stages and releases the results of the run before. */
    void run() {
        release();
        runs++;
        resumption.onStagesStarted();
        StageRun run = new StageRun(
                resumption.request(),
                readerDomain.get(),
                context.firstEventLatencies().expectedNanos(admitted.route()),
                context.batches(),
                context.timers(),
                listener);
        current = Optional.of(run);
        run.start();
    }

    /**
     * Starts all stages for another attempt, after the results were released. The results of a started stream are
     * released on purpose with each first event, so that its stages run for every attempt that it has left.
     *
     * @param streamStarted whether events of the stream have reached the caller
     * @return false if the stages may not run again
     */
    boolean tryRunAfterRelease(boolean streamStarted) {
        if (!streamStarted && runs >= MAX_RUNS) {
            return false;
        }
        runsAfterLoss = 0;
        run();
        return true;
    }

    /** Returns whether the stages may run again after a loss of results, and counts that run. */
    boolean tryAcquireRunAfterLoss() {
        if (!resumption.isPlanned()) {
            return runs < MAX_RUNS;
        }
        if (runsAfterLoss >= MAX_RUNS_AFTER_LOSS) {
            return false;
        }
        runsAfterLoss++;
        return true;
    }

    /** Returns how often the stages were started. */
    int runs() {
        return runs;
    }

    /** Returns whether the results were released, so that another attempt needs new ones. */
    boolean isReleased() {
        return current.filter(StageRun::isReleased).isPresent();
    }

    /** Returns whether results that were not released are known to be lost, so that no upstream can fetch them. */
    boolean isLost() {
        return !isReleased() && context.chooser().isLost(inputs());
    }

    /** Returns the handles of the results; empty if the request has no stages. */
    Optional<List<String>> results() {
        return current.map(StageRun::results);
    }

    /** Returns the same results with their sizes. */
    StageInputs inputs() {
        return current.map(StageRun::inputs).orElse(StageInputs.NONE);
    }

    /**
     * Releases the results once an upstream that was just sent the request has fetched them, which it does before it
     * reads the prompt. Kept until the first event, they would leave no memory for other calls of the pool: long
     * prompts slow the engines down while many requests finish their stages.
     *
     * <p>Called again for the same attempt when it is sent once more; the time then starts again.
     *
     * @param stillReading returns whether that attempt is still the current one
     */
    void releaseOnceFetched(BooleanSupplier stillReading) {
        releaseTimer.cancel();
        current.ifPresent(run -> releaseTimer = context.timers().schedule(run.fetchNanos(context.fetchTime()), () -> {
            if (stillReading.getAsBoolean()) {
                run.releaseAll();
            }
        }));
    }

    /** Releases all results, which an upstream has fetched: it does so before it sends the first event. */
    void onInputsFetched() {
        release();
        context.fetchTime().recordSuccess();
    }

    /** Records that an upstream did not find all results; they may have been released too early. */
    void onInputsLost() {
        if (isReleased()) {
            context.fetchTime().recordEarlyRelease();
        }
    }

    /** Releases all results: the request has read what it needs, or has ended. */
    void release() {
        releaseTimer.cancel();
        current.ifPresent(StageRun::releaseAll);
    }
}
