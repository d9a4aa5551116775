package org.copperspindle.stage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

import org.copperspindle.batch.StageResult;
import org.copperspindle.route.RouteStage;

/**
 * Dependency graph of the stages of one request: which stages may start, which results each one needs, and which
 * results are no longer needed. It has no side effects outside itself.
 */
public final class StagePlan {

    private final List<RouteStage> stages;
    private final List<StageResult[]> results = new ArrayList<>();
    private final boolean[] started;
    private final boolean[] released;
    private final Set<Integer> stagesWithReaders = new HashSet<>();

    /**
     * Creates a plan.
     *
     * @param stages stages of the route
     * @param pieces number of pieces by stage; a stage without pieces is skipped
     */
    public StagePlan(List<RouteStage> stages, List<Integer> pieces) {
        this.stages = stages;
        this.started = new boolean[stages.size()];
        this.released = new boolean[stages.size()];
        for (int stage = 0; stage < stages.size(); stage++) {
            int count = stage < pieces.size() ? pieces.get(stage) : 0;
            results.add(new StageResult[count]);
            if (count > 0) {
                stagesWithReaders.addAll(stages.get(stage).after());
            }
        }
    }

    /**
     * Returns the number of stages of the route.
     *
     * @return a count, with stages that are skipped
     */
    public int stages() {
        return stages.size();
    }

    /**
     * Returns the number of pieces of a stage.
     *
     * @param stage number of the stage
     * @return a count; 0 if the stage is skipped
     */
    public int pieces(int stage) {
        return results.get(stage).length;
    }

    /**
     * Returns the stages that can start now and marks them as started.
     *
     * @return numbers of the stages
     */
    public List<Integer> startReady() {
        return startReady(stage -> true);
    }

    /**
     * Returns the stages that can start now and are due, and marks them as started.
     *
     * @param due returns whether a stage that can start should start now
     * @return numbers of the stages
     */
    public List<Integer> startReady(IntPredicate due) {
        List<Integer> ready = new ArrayList<>();
        for (int stage = 0; stage < stages.size(); stage++) {
            boolean canStart =
                    !started[stage] && stages.get(stage).after().stream().allMatch(this::isDone);
            if (canStart && (pieces(stage) == 0 || due.test(stage))) {
                started[stage] = true;
                if (pieces(stage) > 0) {
                    ready.add(stage);
                }
            }
        }
        return ready;
    }

    /**
     * Returns the inputs of every piece of a stage.
     *
     * @param stage number of the stage
     * @return the results of the stages before it
     */
    public List<StageResult> inputs(int stage) {
        List<StageResult> inputs = new ArrayList<>();
        stages.get(stage).after().forEach(before -> inputs.addAll(Arrays.asList(results.get(before))));
        return inputs;
    }

    /**
     * Returns whether a stage is the only reader of all its inputs.
     *
     * @param stage number of the stage
     * @return true if nothing else reads any of them
     */
    public boolean isOnlyReader(int stage) {
        List<Integer> before = stages.get(stage).after();
        return !before.isEmpty() && before.stream().allMatch(input -> readers(input) == 1);
    }

    /**
     * Returns whether another stage reads the results of a stage.
     *
     * @param stage number of the stage
     * @return false if only the request reads them, or nobody
     */
    public boolean hasReader(int stage) {
        return stagesWithReaders.contains(stage);
    }

    /**
     * Returns the remaining time of the other stages of the request.
     *
     * @param stage     the stage that is left out
     * @param remaining remaining time of a stage that has started or can start
     * @param cost      duration of a later stage
     * @return nanoseconds until the longest of them ends
     */
    public long longestParallel(int stage, StageCost remaining, StageCost cost) {
        long longest = 0;
        for (int other = 0; other < stages.size(); other++) {
            boolean open = other != stage && !isDone(other);
            if (open && stages.get(other).after().stream().allMatch(this::isDone)) {
                longest = Math.max(longest, remaining.of(other) + longestAfter(other, cost));
            }
        }
        return longest;
    }

    /**
     * Records that the producer of a stage's pieces releases the inputs of that stage.
     *
     * @param stage number of the stage
     */
    public void markInputsReleased(int stage) {
        stages.get(stage).after().forEach(input -> released[input] = true);
    }

    /**
     * Records the result of a piece.
     *
     * @param stage  number of its stage
     * @param piece  number of the piece
     * @param result the result
     */
    public void setResult(int stage, int piece, StageResult result) {
        results.get(stage)[piece] = result;
    }

    /**
     * Returns whether all pieces of a stage have results.
     *
     * @param stage number of the stage
     * @return true also for a stage that is skipped
     */
    public boolean isDone(int stage) {
        return Arrays.stream(results.get(stage)).noneMatch(result -> result == null);
    }

    /**
     * Returns whether all stages are done.
     *
     * @return true if no piece lacks a result
     */
    public boolean isComplete() {
        for (int stage = 0; stage < stages.size(); stage++) {
            if (!isDone(stage)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the results that the request itself needs: those that no other stage reads.
     *
     * @return the results
     */
    public List<StageResult> results() {
        List<StageResult> needed = new ArrayList<>();
        for (int stage = 0; stage < stages.size(); stage++) {
            if (!stagesWithReaders.contains(stage)) {
                needed.addAll(Arrays.asList(results.get(stage)));
            }
        }
        return needed;
    }

    /**
     * Returns the same results with their sizes.
     *
     * @return results and sizes
     */
    public StageInputs requestInputs() {
        StageInputs inputs = StageInputs.NONE;
        for (int stage = 0; stage < stages.size(); stage++) {
            if (!stagesWithReaders.contains(stage)) {
                inputs = inputs.plus(StageInputs.of(
                        availableResults(stage), stages.get(stage).resultBytes()));
            }
        }
        return inputs;
    }

    /**
     * Returns the stages whose results are no longer needed, and marks them as released.
     *
     * @param requestDone true if the request has read its inputs or has ended
     * @return stages whose results can be released, each once
     */
    public List<Integer> takeReleasable(boolean requestDone) {
        List<Integer> releasable = new ArrayList<>();
        for (int stage = 0; stage < stages.size(); stage++) {
            boolean needed = !requestDone && (!stagesWithReaders.contains(stage) || hasPendingReader(stage));
            if (!released[stage] && !needed && !availableResults(stage).isEmpty()) {
                released[stage] = true;
                releasable.add(stage);
            }
        }
        return releasable;
    }

    /**
     * Returns the results of a stage that exist so far.
     *
     * @param stage number of the stage
     * @return the results
     */
    public List<StageResult> availableResults(int stage) {
        return Arrays.stream(results.get(stage)).filter(r -> r != null).toList();
    }

    /**
     * Returns the cost of the most expensive chain of stages that follows a stage.
     *
     * @param stage number of the stage
     * @param cost  cost of each stage
     * @return the sum of the costs of that chain; 0 if no stage follows
     */
    public long longestAfter(int stage, StageCost cost) {
        long longest = 0;
        for (int next = 0; next < stages.size(); next++) {
            if (stages.get(next).after().contains(stage) && pieces(next) > 0) {
                longest = Math.max(longest, cost.of(next) + longestAfter(next, cost));
            }
        }
        return longest;
    }

    /**
     * Returns the end of the last stage, relative to now, if the duration of each stage depends on its start.
     *
     * @param time duration of each stage
     * @return nanoseconds from now
     */
    public long finish(StageDuration time) {
        long last = 0;
        for (int stage = 0; stage < stages.size(); stage++) {
            last = Math.max(last, finish(stage, time));
        }
        return last;
    }

    private long finish(int stage, StageDuration time) {
        long start = 0;
        for (int before : stages.get(stage).after()) {
            start = Math.max(start, finish(before, time));
        }
        return pieces(stage) == 0 ? start : start + time.of(stage, start);
    }

    private long readers(int stage) {
        return IntStream.range(0, stages.size())
                .filter(next -> pieces(next) > 0 && stages.get(next).after().contains(stage))
                .count();
    }

    private boolean hasPendingReader(int stage) {
        for (int next = 0; next < stages.size(); next++) {
            if (stages.get(next).after().contains(stage) && !isDone(next)) {
                return true;
            }
        }
        return false;
    }

    /** Cost of a stage. */
    @FunctionalInterface
    public interface StageCost {
        /**
         * Returns the cost of a stage.
         *
         * @param stage number of the stage
         * @return the cost, for example in nanoseconds
         */
        long of(int stage);
    }

    /** Duration of a stage. */
    @FunctionalInterface
    public interface StageDuration {
        /**
         * Returns the duration of a stage.
         *
         * @param stage number of the stage
         * @param start when it can start, nanoseconds from now
         * @return nanoseconds
         */
        long of(int stage, long start);
    }
}
