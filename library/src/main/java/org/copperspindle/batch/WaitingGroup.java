package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.route.BatchLimits;

/**
 * A group of pieces at the dispatcher of its pool.
 */
final class WaitingGroup {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Minimum size of the inputs or results for which a group waits for a near upstream: moving less costs less than
     * a wait costs the request. With a larger bound, a single large result, or a small group of pieces with large
     * inputs, would not wait and would cross failure domains.
     */
    private static final long MIN_NEAR_BYTES = 250_000L;

    /** Partition of groups that share calls with each other without restriction. */
    private static final long NO_PARTITION = 0;

    /** Share of the spare time that a group may wait for a near upstream. */
    private static final double NEAR_WAIT_SHARE = 0.5;

    /** Longest wait for a near upstream, in durations of a full call: the call that runs there has ended by then. */
    private static final double MAX_NEAR_WAIT_CALLS = 1.5;

    private final String origin;
    private final PieceGroup group;
    private final long arrivedAt;
    private final long slackUntil;
    private final long deadline;
    private final List<Integer> missing;
    private int losses;
    private long partition = NO_PARTITION;
    private long sentAt;
    private boolean split;
    private boolean cancelled;
    private boolean withdrawn;
    private boolean inputsReleased;
    private long checkedChanges = -1;
    private boolean inputsLost;

    WaitingGroup(String origin, PieceGroup group, long now) {
        this.origin = origin;
        this.group = group;
        this.arrivedAt = now;
        this.slackUntil = now + group.slackMillis() * NANOS_PER_MILLI;
        this.deadline = now + group.deadlineMillis() * NANOS_PER_MILLI;
        this.missing = new ArrayList<>(group.missing());
    }

    String origin() {
        return origin;
    }

    PieceGroup group() {
        return group;
    }

    List<Integer> missing() {
        return missing;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    long slackUntil() {
        return slackUntil;
    }

    /** Returns the size of the inputs that the missing pieces fetch: each of them fetches all inputs. */
    long fetchedBytes() {
        return group.inputBytes() * missing.size();
    }

    /** Returns the size of the results of the missing pieces. */
    long resultBytes() {
        return group.resultBytes() * missing.size();
    }

    /** Returns whether more bytes go to the reader of the results than come from the producers of the inputs. */
    boolean prefersReaderDomain() {
        return !group.readerDomain().isEmpty() && resultBytes() >= fetchedBytes();
    }

    /**
     * Returns how long the group may wait for an upstream in the failure domain where its inputs are or where its
     * results will be read. A group of an interrupted stream does not wait.
     *
     * @param limits limits of the pool
     */
    long maxNearWaitNanos(BatchLimits limits) {
        if (group.resumed() || (prefersReaderDomain() ? resultBytes() : fetchedBytes()) < MIN_NEAR_BYTES) {
            return 0;
        }
        long spare = slackUntil - arrivedAt - limits.expectedNanos(missing.size());
        long longest = (long) (MAX_NEAR_WAIT_CALLS * limits.fullCallNanos());
        return Math.max(0, Math.min(longest, (long) (spare * NEAR_WAIT_SHARE)));
    }

    /** Returns whether the request can meet its objective if the pieces take a given time from now. */
    boolean isOnTime(long now, long nanos) {
        return now + nanos - slackUntil <= 0;
    }

    /** Returns whether its stream was interrupted and the pieces, sent in a call of their own, would still be in time. */
    boolean isResumedInTime(BatchLimits limits, long now) {
        return group.resumed() && isOnTime(now, limits.expectedNanos(Math.min(missing.size(), limits.maxPieces())));
    }

    /** Returns whether the missing pieces are too many or too large for any call, so that they can't stay together. */
    boolean exceedsCall(BatchLimits limits) {
        return missing.size() > limits.maxPieces() || resultBytes() > StageUpstream.usableMemory(limits);
    }

    boolean isExpired(long now) {
        return now - deadline >= 0;
    }

    long remainingMillis(long now) {
        return Math.max(1, (deadline - now) / NANOS_PER_MILLI);
    }

    void cancel() {
        cancelled = true;
    }

    /** Records that a full call took only a part of the missing pieces. */
    void markSplit() {
        split = true;
    }

    /** Returns whether the group was split to fill a call, so that its missing pieces go first and together. */
    boolean isSplit() {
        return split;
    }

    /**
     * Gives the group to another node: pieces that run here are still delivered, but none is started or reported as
     * missed, and the inputs are not released here any more.
     */
    void withdraw() {
        withdrawn = true;
    }

    /** Records that pieces of the group are sent in a call. */
    void markSent(long now) {
        sentAt = now;
    }

    /** Returns whether all pieces have been sent, and long enough ago that the upstreams have fetched the inputs. */
    boolean hasFetchedInputs(long now, long fetchNanos) {
        return missing.isEmpty() && now - sentAt >= fetchNanos;
    }

    /** Takes the inputs to release, once; empty if others read them too. */
    List<StageResult> takeInputs() {
        if (inputsReleased || withdrawn || !group.ownsInputs()) {
            return List.of();
        }
        inputsReleased = true;
        return group.inputs();
    }

    /** Returns whether the inputs still exist, so that a piece can be run again. */
    boolean hasInputs() {
        return !inputsReleased;
    }

    /** Returns whether a producer of the inputs has been replaced, and they are lost with it. */
    boolean hasLostInputs(UpstreamDirectory directory) {
        if (checkedChanges != directory.changes()) {
            checkedChanges = directory.changes();
            inputsLost = group.inputs().stream().anyMatch(input -> directory.isReplaced(input.producer()));
        }
        return inputsLost;
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Returns whether another node dispatches the group, which runs the pieces without a result. */
    boolean isWithdrawn() {
        return withdrawn;
    }

    /** Returns whether pieces without a result are of no concern here any more. */
    boolean isDropped() {
        return cancelled || withdrawn;
    }

    /**
     * Restricts the group to share calls only with groups of one partition, one of which may have crashed an
     * upstream.
     */
    void assignPartition(long number) {
        partition = number;
    }

    boolean isPartitioned() {
        return partition != NO_PARTITION;
    }

    boolean sharesCallsWith(WaitingGroup other) {
        return partition == other.partition;
    }

    /** Counts a lost call and returns the number of losses. */
    int recordLoss() {
        return ++losses;
    }
}
