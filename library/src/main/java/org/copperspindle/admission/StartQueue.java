package org.copperspindle.admission;

import java.util.List;

/**
 * The requests that wait at the controller of a pool group for the start of their stages, and the policy by which they
 * start or are refused. Without side effects outside itself; all times are monotonic, in nanoseconds.
 */
public interface StartQueue {

    /**
     * Maximum number of requests that go on waiting after a round of decisions: more than all nodes receive in the time
     * that a request can wait. Each takes some hundred bytes.
     */
    int MAX_WAITING = 4096;

    /**
     * Adds a request. A request with the same node and id replaces the earlier one.
     *
     * @param request the request
     * @param now     monotonic time in nanoseconds
     */
    void add(StartRequest request, long now);

    /**
     * Removes a request that no longer waits.
     *
     * @param node node that received it from its caller
     * @param id   its id at that node
     */
    void cancel(String node, long id);

    /**
     * Removes all requests of a node.
     *
     * @param node a node that is gone
     */
    void forget(String node);

    /**
     * Decides which requests start or are refused now. Requests that are not in the result go on waiting; beyond
     * {@link #MAX_WAITING} the least urgent are refused.
     *
     * @param forecast estimates by the present loads; receives each start
     * @param now      monotonic time in nanoseconds
     * @return the decisions, in order
     */
    List<StartDecision> decide(StartForecast forecast, long now);

    /**
     * Returns the number of requests that wait.
     *
     * @return a count
     */
    int size();
}
