package org.copperspindle.limits;

import org.copperspindle.routing.FleetView;

/**
 * Creates the {@link EntryPolicy} of a given kind.
 */
public final class EntryPolicyFactory {

    private EntryPolicyFactory() {}

    /**
     * Creates the policy of a single entry.
     *
     * @param kind          kind of the policy
     * @param fleet         upstreams known to the entry
     * @param maxInProgress maximum number of requests in progress at the entry
     * @return the policy
     */
    public static EntryPolicy of(PolicyKind kind, FleetView fleet, int maxInProgress) {
        return of(kind, fleet, maxInProgress, 0);
    }

    /**
     * Creates a policy.
     *
     * @param kind          kind of the policy
     * @param fleet         upstreams known to the entry
     * @param maxInProgress maximum number of requests in progress at the entry
     * @param entrySeed     seed that differs between entries, so that they use different subsets of large pools
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
