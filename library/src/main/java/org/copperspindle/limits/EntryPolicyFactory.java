package org.copperspindle.limits;

import org.copperspindle.routing.FleetView;

/**
 * Makes the {@link EntryPolicy} of a kind.
 */
public final class EntryPolicyFactory {

    private EntryPolicyFactory() {}

    /**
     * Makes a policy of the only entry.
     *
     * @param kind          which one
     * @param fleet         upstreams that the entry knows
     * @param maxInProgress requests in progress at the entry
     * @return the policy
     */
    public static EntryPolicy of(PolicyKind kind, FleetView fleet, int maxInProgress) {
        return of(kind, fleet, maxInProgress, 0);
    }

    /**
     * Makes a policy.
     *
     * @param kind          which one
     * @param fleet         upstreams that the entry knows
     * @param maxInProgress requests in progress at the entry
     * @param entrySeed     differs from entry to entry, so that their parts of large pools differ
     * @return the policy
     */
    public static EntryPolicy of(PolicyKind kind, FleetView fleet, int maxInProgress, long entrySeed) {
        return switch (kind) {
            case BASELINE -> new BaselineEntryPolicy(fleet, maxInProgress);
            case ADAPTIVE -> new AdaptiveEntryPolicy(fleet, maxInProgress, entrySeed);
            case LEAST_LOAD -> new LeastLoadEntryPolicy(fleet, maxInProgress);
        };
    }
}
