package org.copperspindle.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Work that the accounts have recently requested and started at the pools of a group, by which accounts are found that
 * used more than their weighted max-min share. A share that an account does not request goes to the others.
 */
final class AccountWork {

    /** Half-life of the work: longer than the calls of one request, shorter than a burst of some seconds. */
    private static final long HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Decayed work, in nanoseconds, of a pool that works all the time. */
    private static final double CAPACITY_NANOS = HALF_LIFE_NANOS / Math.log(2);

    /**
     * Factor of its share above which an account is limited. Arrivals vary: without a tolerance more requests of large
     * accounts are held back than the others gain by.
     */
    private static final double SHARE_TOLERANCE = 1.2;

    /** Work that no longer matters, in nanoseconds: a thousandth of the capacity. Accounts with less are dropped. */
    private static final double NEGLIGIBLE_NANOS = CAPACITY_NANOS / 1000;

    /** Maximum number of accounts kept for each pool; each takes about a hundred bytes. */
    private static final int MAX_ACCOUNTS = 4096;

    private final Map<String, Map<String, Usage>> usageByPool = new HashMap<>();
    private final Map<String, Set<String>> aboveShare = new HashMap<>();

    /** Records that an account requests work at a pool. */
    void request(String pool, String account, double weight, double costNanos, long now) {
        Map<String, Usage> usages = usageByPool.computeIfAbsent(pool, name -> new HashMap<>());
        if (usages.size() < MAX_ACCOUNTS || usages.containsKey(account)) {
            Usage usage = usages.computeIfAbsent(account, name -> new Usage(now));
            usage.decay(now);
            usage.weight = weight;
            usage.requested += costNanos;
        }
    }

    /** Records that requested work of an account starts. */
    void start(String pool, String account, double costNanos, long now) {
        Usage usage = usageByPool.getOrDefault(pool, Map.of()).get(account);
        if (usage != null) {
            usage.decay(now);
            usage.started += costNanos;
        }
    }

    /** Finds the accounts that have started clearly more than their share. */
    void update(long now) {
        aboveShare.clear();
        usageByPool.values().removeIf(usages -> {
            usages.values().forEach(usage -> usage.decay(now));
            usages.values().removeIf(usage -> usage.requested < NEGLIGIBLE_NANOS);
            return usages.isEmpty();
        });
        usageByPool.forEach((pool, usages) -> {
            double level = level(usages);
            Set<String> above = new HashSet<>();
            usages.forEach((account, usage) -> {
                if (usage.started > SHARE_TOLERANCE * level * usage.weight) {
                    above.add(account);
                }
            });
            aboveShare.put(pool, above);
        });
    }

    /** Returns whether an account had started clearly more than its share of a pool at the last update. */
    boolean isAboveShare(String pool, String account) {
        return aboveShare.getOrDefault(pool, Set.of()).contains(account);
    }

    /** Returns the number of accounts that are kept, over all pools. */
    int accountCount() {
        return usageByPool.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the work for each unit of weight to which accounts are limited so that the pool is just used fully. */
    private static double level(Map<String, Usage> usages) {
        if (usages.size() == 1) {
            return Double.POSITIVE_INFINITY;
        }
        List<Usage> byDemand = new ArrayList<>(usages.values());
        byDemand.sort(Comparator.comparingDouble(usage -> usage.requested / usage.weight));
        double left = CAPACITY_NANOS;
        double weights = byDemand.stream().mapToDouble(usage -> usage.weight).sum();
        for (Usage usage : byDemand) {
            if (usage.requested / usage.weight * weights > left) {
                return left / weights;
            }
            left -= usage.requested;
            weights -= usage.weight;
        }
        return Double.POSITIVE_INFINITY;
    }

    private static final class Usage {
        private double weight;
        private double requested;
        private double started;
        private long at;

        private Usage(long now) {
            this.at = now;
        }

        private void decay(long now) {
            double factor = Math.pow(0.5, (double) Math.max(0, now - at) / HALF_LIFE_NANOS);
            requested *= factor;
            started *= factor;
            at = now;
        }
    }
}
