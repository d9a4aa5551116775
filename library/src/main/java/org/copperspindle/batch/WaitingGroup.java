package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;

import org.copperspindle.route.BatchLimits;

/**
 * A group at the node that packs the calls.
 */
final class WaitingGroup {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * What a group reads or makes below this costs less to move than a wait costs its request. With a larger bound a large result
     * by itself, and a small group of pieces that each read much, would wait for nobody and cross failure domains.
     */
    private static final long LARGE_BYTES = 250_000L;

    /** Lot of groups that share calls with each other freely. */
    private static final long ANY_LOT = 0;

    /** Part of the spare time that is risked on a near upstream. */
    private static final double NEAR_SHARE = 0.5;

    /** Full calls that may be waited for: the one that runs at the near upstream is over by then. */
    private static final double LONGEST_NEAR_CALLS = 1.5;

    private final String origin;
    private final PieceGroup group;
    private final long arrivedAt;
    private final long slackUntil;
    private final long deadline;
    private final List<Integer> missing;
    private int losses;
    private long lot = ANY_LOT;
    private long sentAt;
    private boolean cancelled;
    private boolean inputsGivenUp;

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

    /** Returns the size of what the pieces that are still to be made fetch: each of them fetches all inputs. */
    long fetchedBytes() {
        return group.inputBytes() * missing.size();
    }

    /** Returns the size of the results that are still to be made. */
    long resultBytes() {
        return group.resultBytes() * missing.size();
    }

    /** Says whether more is moved to the reader of the results than from the makers of the inputs. */
    boolean isDrawnToReader() {
        return !group.readerDomain().isEmpty() && resultBytes() >= fetchedBytes();
    }

    /**
     * Returns how long the group may wait for an upstream in the failure domain where its inputs are, or its results will be
     * read.
     *
     * @param limits limits of the pool
     */
    long nearWaitNanos(BatchLimits limits) {
        if ((isDrawnToReader() ? resultBytes() : fetchedBytes()) < LARGE_BYTES) {
            return 0;
        }
        long spare = slackUntil - arrivedAt - limits.expectedNanos(missing.size());
        long longest = (long) (LONGEST_NEAR_CALLS * limits.fullCallNanos());
        return Math.max(0, Math.min(longest, (long) (spare * NEAR_SHARE)));
    }

    /** Says whether the pieces can be made soon enough for the request's objective, if they take so long from now. */
    boolean isOnTime(long now, long nanos) {
        return now + nanos - slackUntil <= 0;
    }

    boolean isOver(long now) {
        return now - deadline >= 0;
    }

    long remainingMillis(long now) {
        return Math.max(1, (deadline - now) / NANOS_PER_MILLI);
    }

    void cancel() {
        cancelled = true;
    }

    /** Notes that pieces of the group go out in a call. */
    void sent(long now) {
        sentAt = now;
    }

    /** Says whether all pieces have been in a call for so long that their maker has fetched the inputs. */
    boolean hasFetched(long now, long fetchNanos) {
        return missing.isEmpty() && now - sentAt >= fetchNanos;
    }

    /** Takes the inputs to give up, once; empty if others read them too. */
    List<String> takeInputs() {
        if (inputsGivenUp || !group.ownsInputs()) {
            return List.of();
        }
        inputsGivenUp = true;
        return group.inputs();
    }

    /** Says whether a piece could still be made again. */
    boolean hasInputs() {
        return !inputsGivenUp;
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Has the group share calls with groups of one lot only, of which one may have ended an upstream. */
    void part(long number) {
        lot = number;
    }

    boolean isParted() {
        return lot != ANY_LOT;
    }

    boolean sharesCallsWith(WaitingGroup other) {
        return lot == other.lot;
    }

    /** Counts a loss and returns how many there were. */
    int lost() {
        return ++losses;
    }
}
