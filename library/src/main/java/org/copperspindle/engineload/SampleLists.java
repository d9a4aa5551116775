package org.copperspindle.engineload;

import java.util.ArrayList;
import java.util.List;

/**
 * The parallel lists of an {@link EngineSamplesMessage} while it is made.
 */
final class SampleLists {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final List<String> engines = new ArrayList<>();
    private final List<Long> waitingTokens = new ArrayList<>();
    private final List<Long> streams = new ArrayList<>();
    private final List<Long> longestPauses = new ArrayList<>();
    private final List<Long> sampled = new ArrayList<>();
    private final List<Long> sampledTokens = new ArrayList<>();
    private final List<Long> sampledMillis = new ArrayList<>();
    private final List<Long> sampleAges = new ArrayList<>();

    void add(String id, long waiting, long running, long longestPause) {
        engines.add(id);
        waitingTokens.add(waiting);
        streams.add(running);
        longestPauses.add(longestPause);
    }

    /** Adds a sample of the engine that was added last. */
    void add(ReadPrompt prompt, long now) {
        sampled.add((long) engines.size() - 1);
        sampledTokens.add(prompt.tokens());
        sampledMillis.add(millis(prompt.firstEventAt() - prompt.sentAt()));
        sampleAges.add(millis(now - prompt.firstEventAt()));
    }

    EngineSamplesMessage message(String pool, long sentTokens) {
        return new EngineSamplesMessage(
                pool,
                engines,
                waitingTokens,
                streams,
                longestPauses,
                sampled,
                sampledTokens,
                sampledMillis,
                sampleAges,
                sentTokens);
    }

    private static long millis(long nanos) {
        return Math.min(ValueBounds.MAX_MILLIS, nanos / NANOS_PER_MILLI);
    }
}
