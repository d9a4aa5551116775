package org.copperspindle.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.UpstreamPool;

/**
 * The controllers of the pool groups that this node is responsible for, and which of their pools are short.
 */
final class GroupControllers {

    private static final Logger LOGGER = LogManager.getLogger(GroupControllers.class);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Function<String, PoolLoad> loads;
    private final Predicate<String> isController;
    private final Supplier<StartPolicy.Shortage> shortages;
    private final Supplier<StartController> factory;
    private final Map<String, StartController> controllers = new HashMap<>();
    private final Map<String, PoolState> pools = new HashMap<>();
    private final Set<String> shortGroups = new HashSet<>();

    /**
     * Creates the set without controllers.
     *
     * @param loads        returns the load of a pool by its name
     * @param isController whether this node is the controller of a group
     * @param shortages    creates the shortage detection of a pool
     * @param factory      creates the controller of a group
     */
    GroupControllers(
            Function<String, PoolLoad> loads,
            Predicate<String> isController,
            Supplier<StartPolicy.Shortage> shortages,
            Supplier<StartController> factory) {
        this.loads = loads;
        this.isController = isController;
        this.shortages = shortages;
        this.factory = factory;
    }

    /** Returns the controller of a group, if this node is responsible for it. */
    Optional<StartController> find(String group) {
        if (!isController.test(group)) {
            remove(group);
            return Optional.empty();
        }
        return Optional.of(controllers.computeIfAbsent(group, g -> factory.get()));
    }

    /** Returns whether this node, as controller of the group, finds one of its pools short. */
    boolean isShort(String group) {
        return shortGroups.contains(group);
    }

    boolean isAnyShort() {
        return !shortGroups.isEmpty();
    }

    /** Returns all pools of the groups that this node finds short. */
    Set<String> shortPools(CoordinatedPools table) {
        Set<String> names = new HashSet<>();
        shortGroups.forEach(group -> table.pools(group).forEach(pool -> names.add(pool.name())));
        return names;
    }

    /** Drops the controllers of groups that another node is responsible for, and evaluates the pools of the others. */
    void update(CoordinatedPools table, long now) {
        Set.copyOf(controllers.keySet()).stream()
                .filter(group -> !table.groups().contains(group))
                .forEach(this::remove);
        shortGroups.retainAll(table.groups());
        pools.keySet().removeIf(pool -> table.groupOf(pool).isEmpty());
        for (String group : table.groups()) {
            if (find(group).isEmpty()) {
                table.pools(group).forEach(pool -> pools.remove(pool.name()));
                continue;
            }
            boolean anyShort = false;
            for (UpstreamPool pool : table.pools(group)) {
                anyShort |= pool.batchLimits()
                        .filter(limits -> isShort(pool.name(), limits, now))
                        .isPresent();
            }
            if (anyShort) {
                shortGroups.add(group);
            } else {
                shortGroups.remove(group);
            }
        }
    }

    /** Decides again after the load of a pool of the group has changed. */
    void loadChanged(String group) {
        Optional.ofNullable(controllers.get(group)).ifPresent(StartController::decideWithinBudget);
    }

    void cancel(String node, long id) {
        controllers.values().forEach(controller -> controller.cancel(node, id));
    }

    void forget(String node) {
        controllers.values().forEach(controller -> controller.forget(node));
    }

    int waitingCount() {
        return controllers.values().stream()
                .mapToInt(StartController::waitingCount)
                .sum();
    }

    int waitingCount(int rank) {
        return controllers.values().stream()
                .mapToInt(controller -> controller.waitingCount(rank))
                .sum();
    }

    private void remove(String group) {
        shortGroups.remove(group);
        StartController controller = controllers.remove(group);
        if (controller != null) {
            LOGGER.info("event=admission-handed-over group={} waiting={}", group, controller.waitingCount());
            controller.drop();
        }
    }

    private boolean isShort(String pool, BatchLimits limits, long now) {
        PoolState state = pools.computeIfAbsent(pool, p -> new PoolState(shortages.get()));
        long queueing = ShortageDetector.queueingNanos(loads.apply(pool), limits);
        boolean before = state.isShort;
        state.isShort = state.shortage.update(queueing, limits.fullCallNanos(), now);
        if (before != state.isShort) {
            LOGGER.info(
                    "event=admission-short pool={} short={} queueing_ms={} full_call_ms={}",
                    pool,
                    state.isShort,
                    queueing / NANOS_PER_MILLI,
                    limits.fullCallNanos() / NANOS_PER_MILLI);
        }
        return state.isShort;
    }

    private static final class PoolState {
        private final StartPolicy.Shortage shortage;
        private boolean isShort;

        private PoolState(StartPolicy.Shortage shortage) {
            this.shortage = shortage;
        }
    }
}
