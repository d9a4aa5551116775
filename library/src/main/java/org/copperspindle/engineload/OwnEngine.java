package org.copperspindle.engineload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What this node counts of its own attempts at one incarnation of an engine.
 */
final class OwnEngine {

    /** Pauses that no route objects to are not worth a message. */
    private static final long MIN_PAUSE_MILLIS = 100;

    /** A report that is younger when a table arrives was sent after the owner had made the table. */
    private static final long REPORT_TRAVEL_NANOS = Duration.ofMillis(10).toNanos();

    /** More first events of one engine between two reports would tell nothing new. */
    private static final int MAX_SAMPLES = ValueBounds.MAX_SAMPLES / ValueBounds.MAX_ENGINES;

    private final long incarnation;
    private long waitingTokens;
    private long streams;
    private final List<ReadPrompt> samples = new ArrayList<>();
    private long longestPause;
    private boolean changed;
    private long reportedTokens;
    private long reportedBefore;
    private long reportedAt;
    private long tokensInTable;
    private long reportedStreams;
    private long streamsReportedBefore;
    private long streamsInTable;

    OwnEngine(long incarnation) {
        this.incarnation = incarnation;
    }

    long incarnation() {
        return incarnation;
    }

    void started(long tokens) {
        waitingTokens += tokens;
        streams++;
        changed = true;
    }

    void stopsWaiting(long tokens) {
        waitingTokens -= tokens;
        changed = true;
    }

    void sampled(long tokens, long sentAt, long firstEventAt) {
        if (samples.size() < MAX_SAMPLES) {
            samples.add(new ReadPrompt("", tokens, sentAt, firstEventAt));
        }
        changed = true;
    }

    void paused(long millis) {
        if (millis >= MIN_PAUSE_MILLIS) {
            longestPause = Math.min(ValueBounds.MAX_MILLIS, Math.max(longestPause, millis));
            changed = true;
        }
    }

    void ended() {
        streams--;
        changed = true;
    }

    long waitingTokens() {
        return waitingTokens;
    }

    long streams() {
        return streams;
    }

    boolean isIdle() {
        return waitingTokens == 0 && streams == 0;
    }

    boolean isChanged() {
        return changed;
    }

    /** Marks the counts to be reported again, because the owner does not know them. */
    void reportAgain() {
        changed = !isIdle() || changed;
        reportedTokens = 0;
        reportedBefore = 0;
        tokensInTable = 0;
        reportedStreams = 0;
        streamsReportedBefore = 0;
        streamsInTable = 0;
    }

    void appendTo(SampleLists lists, String id, long now) {
        lists.add(id, waitingTokens, streams, longestPause);
        samples.forEach(prompt -> lists.add(prompt, now));
    }

    /** Starts the next report after one was sent. */
    void reported(long now) {
        reportedBefore = reportedTokens;
        reportedTokens = waitingTokens;
        streamsReportedBefore = reportedStreams;
        reportedStreams = streams;
        reportedAt = now;
        samples.clear();
        longestPause = 0;
        changed = false;
    }

    /** Notes which of this node's counts a table that has just arrived includes. */
    void tableArrived(long now) {
        boolean hasLast = now - reportedAt >= REPORT_TRAVEL_NANOS;
        tokensInTable = hasLast ? reportedTokens : reportedBefore;
        streamsInTable = hasLast ? reportedStreams : streamsReportedBefore;
    }

    /** Returns the tokens sent, less those read, since the state that the last table includes. */
    long tokensSinceTable() {
        return waitingTokens - tokensInTable;
    }

    /** Returns the attempts started, less those ended, since the state that the last table includes. */
    long streamsSinceTable() {
        return streams - streamsInTable;
    }
}
