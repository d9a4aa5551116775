package org.copperspindle.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.route.RouteTable;
import org.copperspindle.version.SoftwareCommand;
import org.copperspindle.version.VersionHolder;
import org.copperspindle.version.VersionMember;
import org.copperspindle.version.VersionResult;

/**
 * Records the software versions of streams that a new route table moves to other pools, at the leader of the control group
 * and before the table. A node that holds the table then learns of them before it concludes where a stream began. Must be
 * used on the network thread.
 */
final class MovedStreamsRecorder {

    private static final Logger LOGGER = LogManager.getLogger(MovedStreamsRecorder.class);

    private final VersionHolder holder;

    /**
     * Creates a recorder.
     *
     * @param holder holds what the group has committed
     */
    MovedStreamsRecorder(VersionHolder holder) {
        this.holder = holder;
    }

    /**
     * Records the versions, if a table moves streams.
     *
     * @param member   the leader
     * @param next     the table that is to be recorded
     * @param failed   receives the result if the versions can't be recorded now
     * @param recorded run on the network thread or on the member's own thread once the table can be recorded
     */
    void record(VersionMember member, RouteTable next, Consumer<VersionResult> failed, Runnable recorded) {
        record(member, changes(next), failed, recorded);
    }

    /**
     * Returns the changes to record. Once the list is kept, the log holds changes that all members have to read, so that
     * nothing needs to be known of the other nodes.
     */
    private List<SoftwareCommand> changes(RouteTable next) {
        if (!holder.software().isKept()) {
            return List.of();
        }
        return holder.heldTable()
                .filter(held -> held.version() < next.version())
                .map(held -> MovedStreams.changes(held, next, holder.software()))
                .orElse(List.of());
    }

    private static void record(
            VersionMember member, List<SoftwareCommand> left, Consumer<VersionResult> failed, Runnable recorded) {
        if (left.isEmpty()) {
            recorded.run();
            return;
        }
        SoftwareCommand change = left.get(0);
        member.changeSoftware(change, result -> {
            log(change, result);
            if (result instanceof VersionResult.Recorded) {
                record(member, left.subList(1, left.size()), failed, recorded);
            } else {
                failed.accept(toFailure(change, result));
            }
        });
    }

    /** Returns the result for the operator. A refusal concerns the list of versions, not the table, which is valid. */
    private static VersionResult toFailure(SoftwareCommand change, VersionResult result) {
        return result instanceof VersionResult.Refused refused
                ? new VersionResult.NoRoom(
                        "streams can't be moved to pool " + change.pool() + " now: " + refused.reason())
                : result;
    }

    private static void log(SoftwareCommand change, VersionResult result) {
        LOGGER.log(
                result instanceof VersionResult.Refused ? Level.ERROR : Level.INFO,
                "event=streams-moved pool={} software={} result={}",
                change.pool(),
                change.versions(),
                result.getClass().getSimpleName());
    }
}
