package org.copperspindle.limits;

import java.util.Map;
import java.util.TreeMap;

/**
 * Parts a client account's rate among the entries that hold a lease: half of it equally, as the floor that an entry may
 * use whatever happens, the rest by what each entry was asked for. Safeguard: were each entry to apply the whole rate, an
 * account would get it once for each entry; the symptom is a flood that passes every limit. Parts whose sum is never above
 * the whole are enough, because an entry that loses its lease falls back to a floor that was never given to another.
 */
public final class RateShares {

    /** Part of the rate that is given out equally. */
    public static final double FLOOR_SHARE = 0.5;

    private RateShares() {}

    /**
     * Parts a rate.
     *
     * @param ratePerSecond rate of the account over the whole fleet
     * @param demand        requests in a second that each entry was asked for lately, by entry; negative counts as 0
     * @return rate by entry, whose sum is not above the whole
     */
    public static Map<String, Double> split(double ratePerSecond, Map<String, Double> demand) {
        double floor = floor(ratePerSecond, demand.size());
        double total = demand.values().stream().mapToDouble(d -> Math.max(0, d)).sum();
        double rest = ratePerSecond * (1 - FLOOR_SHARE);
        Map<String, Double> shares = new TreeMap<>();
        demand.forEach((entry, asked) -> {
            double part = total == 0 ? 1.0 / demand.size() : Math.max(0, asked) / total;
            shares.put(entry, floor + rest * part);
        });
        return shares;
    }

    /**
     * Returns what an entry may use without a current lease.
     *
     * @param ratePerSecond rate of the account over the whole fleet
     * @param entries       entries that hold or held a lease
     * @return requests in a second, 0 for no entries
     */
    public static double floor(double ratePerSecond, int entries) {
        return entries == 0 ? 0 : ratePerSecond * FLOOR_SHARE / entries;
    }
}
