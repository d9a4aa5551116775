package org.copperspindle.batch;

import java.util.List;

/**
 * One piece as a stage upstream gets it.
 *
 * @param requestId       id of the request
 * @param stage           number of the stage in the request's route
 * @param piece           number of the piece
 * @param remainingMillis time after which it need not be made
 * @param key             key of the request's pieces, empty if the piece has inputs
 * @param inputs          handles of the results that it needs
 */
public record StageItem(
        String requestId, int stage, int piece, long remainingMillis, String key, List<String> inputs) {}
