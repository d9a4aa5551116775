package org.copperspindle.admission;

import java.util.List;
import java.util.Optional;

import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;

/**
 * A request of another node, at the controller.
 *
 * @param table           route table of the controller
 * @param route           its route in that table
 * @param pieces          number of pieces of each stage
 * @param accountName     name of the client account
 * @param rank            scheduling rank
 * @param admittedAt      when its start request arrived, monotonic time in nanoseconds
 * @param objectiveAt     its latency objective, monotonic time in nanoseconds
 * @param callerTimeoutAt latest time for its first event, monotonic time in nanoseconds
 * @param retried         whether the caller was refused before
 */
record RemoteRequest(
        RouteTable table,
        Route route,
        List<Integer> pieces,
        String accountName,
        int rank,
        long admittedAt,
        long objectiveAt,
        long callerTimeoutAt,
        boolean retried)
        implements StagedRequest {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Reads a request from its message.
     *
     * @param message the message
     * @param pools   the coordinated routes of the controller's table
     * @param now     monotonic time in nanoseconds
     * @return empty if the message is out of range, or if its route is unknown, not coordinated or has fewer stages
     */
    static Optional<RemoteRequest> of(StartRequestMessage message, CoordinatedPools pools, long now) {
        if (!message.isValid()) {
            return Optional.empty();
        }
        return pools.findRoute(message.route())
                .filter(route -> message.pieces().size() <= route.stages().size())
                .map(route -> new RemoteRequest(
                        pools.table(),
                        route,
                        message.pieces(),
                        message.account(),
                        message.rank(),
                        now,
                        now + message.objectiveMillis() * NANOS_PER_MILLI,
                        now + message.timeoutMillis() * NANOS_PER_MILLI,
                        message.retried()));
    }

    @Override
    public Optional<BatchLimits> stageLimits(int stage) {
        return table.findPool(stagePool(stage)).flatMap(UpstreamPool::batchLimits);
    }
}
