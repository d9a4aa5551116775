package org.copperspindle.admission;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteTable;

/**
 * The pure decisions that {@link FleetStageStarts} carries out.
 *
 * @param queues    creates the queue of a pool group
 * @param forecasts creates the estimates for the requests of a pool group
 * @param groups    groups the pools of a route table; evaluated once per table
 * @param shortages creates the shortage detection of a pool
 * @param weights   share of a client account relative to other accounts, above 0
 */
public record StartPolicy(
        Supplier<StartQueue> queues,
        Supplier<StartForecast> forecasts,
        Function<RouteTable, Groups> groups,
        Supplier<Shortage> shortages,
        ToDoubleFunction<ClientAccount> weights) {

    /** Groups of the pools of one route table. */
    public interface Groups {

        /** No pool is coordinated. */
        Groups NONE = new Groups() {
            @Override
            public Optional<String> groupOf(String pool) {
                return Optional.empty();
            }

            @Override
            public boolean isCoordinated(Route route) {
                return false;
            }
        };

        /**
         * Returns the group of a pool.
         *
         * @param pool name of the pool
         * @return name of the first pool of the group, whose dispatcher node is the controller; empty if the pool is
         *     in no group
         */
        Optional<String> groupOf(String pool);

        /**
         * Returns whether requests of a route wait for others while their pools are short.
         *
         * @param route the route
         * @return false if each node decides its requests alone
         */
        boolean isCoordinated(Route route);
    }

    /** Detects that one pool is short of capacity. */
    @FunctionalInterface
    public interface Shortage {

        /**
         * Evaluates the pool.
         *
         * @param queueingNanos queueing of a new request, in nanoseconds
         * @param fullCallNanos duration of a full call, in nanoseconds
         * @param now           monotonic time in nanoseconds
         * @return true while the pool is short
         */
        boolean update(long queueingNanos, long fullCallNanos, long now);
    }
}
