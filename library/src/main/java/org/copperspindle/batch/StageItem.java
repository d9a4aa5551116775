package org.copperspindle.batch;

import java.util.List;

/**
 * One piece as it is sent to a stage upstream.
 *
 * @param requestId       id of the request
 * @param stage           index of the stage in the request's route
 * @param piece           number of the piece
 * @param remainingMillis time after which its result is no longer needed
 * @param key             key of the request's pieces, empty if the piece has inputs
 * @param inputs          handles of the input results
 */
public record StageItem(
        String requestId, int stage, int piece, long remainingMillis, String key, List<String> inputs) {}
