package org.copperspindle.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.admission.PoolGroups;
import org.copperspindle.resume.ResumePlan;
import org.copperspindle.resume.ResumePolicy;
import org.copperspindle.route.RouteTable;

/**
 * Plans how the interrupted streams of a node are resumed, and counts them. Used on the network thread only.
 */
final class StreamResumptions {

    private final GatewayCounters counters;
    private Optional<TablePolicy> newest = Optional.empty();

    /**
     * Creates the plans.
     *
     * @param counters counts resumed streams
     */
    StreamResumptions(GatewayCounters counters) {
        this.counters = counters;
    }

    /** Plans the resumption of a stream; empty if its route is not resumed by a plan. */
    Optional<ResumePlan> plan(AdmittedRequest admitted, long lastEventAt) {
        return policy(admitted.table()).plan(admitted.route(), lastEventAt);
    }

    /** Returns how long an engine may send nothing in the middle of a stream, in nanoseconds; empty without a limit. */
    OptionalLong maxSilenceNanos(AdmittedRequest admitted) {
        return policy(admitted.table()).maxSilenceNanos(admitted.route());
    }

    /** Returns how long an engine may take to resume a stream, in nanoseconds; empty without a limit. */
    OptionalLong maxFirstEventNanos(AdmittedRequest admitted) {
        return policy(admitted.table()).maxFirstEventNanos(admitted.route());
    }

    /** Counts a stream whose caller receives events again. */
    void recordResumed(boolean inTime) {
        counters.recordResumed(inTime);
    }

    /** Returns the policy of a table. Computed for each change of the table, since the pool groups follow from it. */
    private ResumePolicy policy(RouteTable table) {
        if (newest.isEmpty() || newest.get().table() != table) {
            PoolGroups groups = PoolGroups.of(table);
            newest = Optional.of(new TablePolicy(table, new ResumePolicy(groups::isCoordinated)));
        }
        return newest.get().policy();
    }

    private record TablePolicy(RouteTable table, ResumePolicy policy) {}
}
