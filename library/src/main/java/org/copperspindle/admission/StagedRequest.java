package org.copperspindle.admission;

import java.util.List;
import java.util.Optional;

import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.Route;

/**
 * A request with stages, as the admission to the stages sees it. Times are monotonic, in nanoseconds, on the clock of
 * the node that evaluates the request.
 */
public interface StagedRequest {

    /**
     * Returns the route of the request.
     *
     * @return the route, with its stages
     */
    Route route();

    /**
     * Returns the number of pieces of each stage.
     *
     * @return by stage number; stages beyond the end of the list have none
     */
    List<Integer> pieces();

    /**
     * Returns the name of the client account.
     *
     * @return empty if the route needs none
     */
    String accountName();

    /**
     * Returns the scheduling rank.
     *
     * @return 0 for the most urgent requests
     */
    int rank();

    /**
     * Returns the batch limits of a stage's pool.
     *
     * @param stage number of the stage
     * @return empty if the route table does not have the pool
     */
    Optional<BatchLimits> stageLimits(int stage);

    /**
     * Returns when the request was admitted.
     *
     * @return monotonic time in nanoseconds
     */
    long admittedAt();

    /**
     * Returns the latency objective of the first event.
     *
     * @return monotonic time in nanoseconds
     */
    long objectiveAt();

    /**
     * Returns the latest time for the first event; after that the caller has left, or leaves before the stream ends.
     *
     * @return monotonic time in nanoseconds
     */
    long callerTimeoutAt();

    /**
     * Returns whether the caller was refused before and has come back.
     *
     * @return false for a first attempt
     */
    boolean retried();

    /**
     * Returns the pool of a stage.
     *
     * @param stage number of the stage
     * @return name of the pool
     */
    default String stagePool(int stage) {
        return route().stages().get(stage).pool();
    }

    /**
     * Returns whether the request has pieces of a stage.
     *
     * @param stage number of the stage
     * @return false if the stage is skipped
     */
    default boolean needsStage(int stage) {
        return stage < pieces().size() && pieces().get(stage) > 0;
    }

    /**
     * Returns whether a pool runs pieces of the request.
     *
     * @param name name of the pool
     * @return false if no stage with pieces uses it
     */
    default boolean needsPool(String name) {
        for (int stage = 0; stage < route().stages().size(); stage++) {
            if (needsStage(stage) && stagePool(stage).equals(name)) {
                return true;
            }
        }
        return false;
    }
}
