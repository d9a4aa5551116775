package org.copperspindle.limits;

import org.copperspindle.routing.FleetView;

/**
 * Makes the {@link EntryPolicy} of a kind.
 */
public final class EntryPolicyFactory {

    private EntryPolicyFactory() {}

    /**
     * Makes a policy.
     *
     * @param kind          which one
     * @param fleet         upstreams that the entry knows
     * @param maxInProgress requests in progress at the entry
     * @return the policy
     */
    public static EntryPolicy of(PolicyKind kind, FleetView fleet, int maxInProgress) {
        return switch (kind) {
            case BASELINE -> new BaselineEntryPolicy(fleet, maxInProgress);
            case ADAPTIVE -> new AdaptiveEntryPolicy(fleet, maxInProgress);
            case LEAST_LOAD -> new LeastLoadEntryPolicy(fleet, maxInProgress);
        };
    }
}
