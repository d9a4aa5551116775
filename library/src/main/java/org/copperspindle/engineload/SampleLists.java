package org.copperspindle.engineload;

import java.util.ArrayList;
import java.util.List;

/**
 * The parallel lists of an {@link EngineSamplesMessage} while it is made.
 */
final class SampleLists {

    private final List<String> engines = new ArrayList<>();
    private final List<Long> waitingTokens = new ArrayList<>();
    private final List<Long> streams = new ArrayList<>();
    private final List<Long> sampledTokens = new ArrayList<>();
    private final List<Long> sampledMillis = new ArrayList<>();
    private final List<Long> longestPauses = new ArrayList<>();
    private final List<Long> samples = new ArrayList<>();

    void add(String id, long waiting, long running, long tokens, long millis, long longestPause, long count) {
        engines.add(id);
        waitingTokens.add(waiting);
        streams.add(running);
        sampledTokens.add(tokens);
        sampledMillis.add(millis);
        longestPauses.add(longestPause);
        samples.add(count);
    }

    EngineSamplesMessage message(String pool) {
        return new EngineSamplesMessage(
                pool, engines, waitingTokens, streams, sampledTokens, sampledMillis, longestPauses, samples);
    }
}
