package org.copperspindle.limits;

import java.util.Map;
import java.util.TreeMap;

/**
 * Divides a client account's rate among the entries that hold a lease: half of it equally, as a floor that an entry
 * may always use, the rest in proportion to recent demand. If each entry applied the whole rate, an account would get
 * it once per entry, and a flood would pass every limit. The sum of the shares never exceeds the whole, because an
 * entry that loses its lease falls back to a floor that was never assigned to another entry.
 */
public final class RateShares {

    /** Share of the rate that is divided equally. */
    public static final double FLOOR_SHARE = 0.5;

    private RateShares() {}

    /**
     * Divides a rate.
     *
     * @param ratePerSecond rate of the account in the whole fleet, in requests per second
     * @param demand        recent demand at each entry in requests per second; negative values count as 0
     * @return rate by entry; the sum does not exceed the whole rate
     */
    public static Map<String, Double> split(double ratePerSecond, Map<String, Double> demand) {
        double floor = floor(ratePerSecond, demand.size());
        double total = demand.values().stream().mapToDouble(d -> Math.max(0, d)).sum();
        double rest = ratePerSecond * (1 - FLOOR_SHARE);
        Map<String, Double> shares = new TreeMap<>();
        demand.forEach((entry, entryDemand) -> {
            double fraction = total == 0 ? 1.0 / demand.size() : Math.max(0, entryDemand) / total;
            shares.put(entry, floor + rest * fraction);
        });
        return shares;
    }

    /**
     * Returns the rate that an entry may use without a current lease.
     *
     * @param ratePerSecond rate of the account in the whole fleet, in requests per second
     * @param entries       number of entries that hold or held a lease
     * @return requests per second, 0 without entries
     */
    public static double floor(double ratePerSecond, int entries) {
        return entries == 0 ? 0 : ratePerSecond * FLOOR_SHARE / entries;
    }
}
