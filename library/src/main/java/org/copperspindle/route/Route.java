package org.copperspindle.route;

import java.time.Duration;
import java.util.List;

/**
 * A route: which requests belong to it, and how they are served.
 *
 * @param name        its name
 * @param host        host named by its requests
 * @param pathPrefix  prefix of the path; begins and ends with a slash
 * @param kind        whether requests may be repeated
 * @param timeout     maximum time that a request waits
 * @param objective   latency objective: time to the whole response, of a stream to its first event
 * @param priority    rank, 0 first
 * @param pools       pools that serve it
 * @param maxAttempts maximum number of upstreams that one request is sent to
 * @param stages      work done before the request runs, by stage number
 * @param open        true if requests need no key
 * @param resumable   true if a stream may be resumed at another upstream
 * @param maxEventGap maximum time between events of a stream that is on time, zero for other kinds
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration objective,
        int priority,
        List<WeightedPool> pools,
        int maxAttempts,
        List<RouteStage> stages,
        boolean open,
        boolean resumable,
        Duration maxEventGap) {

    /** Copies the lists. */
    public Route {
        pools = List.copyOf(pools);
        stages = List.copyOf(stages);
    }

    /**
     * Returns whether a request may run more than once.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean isIdempotent() {
        return kind == RouteKind.SAFE || kind == RouteKind.STREAM && resumable;
    }

    /**
     * Returns whether every request gets the same pool on this route as on another one.
     *
     * @param other the other route, for example of another table
     * @return true if the pools are the same, and the draws among several pools are as well
     */
    public boolean choosesLike(Route other) {
        return pools.equals(other.pools) && (pools.size() == 1 || name.equals(other.name));
    }

    /**
     * Chooses a pool by weight.
     *
     * @param draw a uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     * @return the pool's name
     */
    public String choosePool(double draw) {
        int total = pools.stream().mapToInt(WeightedPool::weight).sum();
        double left = draw * total;
        for (WeightedPool pool : pools) {
            left -= pool.weight();
            if (left < 0) {
                return pool.pool();
            }
        }
        return pools.get(pools.size() - 1).pool();
    }
}
