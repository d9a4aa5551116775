package org.copperspindle.batch;

import java.util.List;
import java.util.function.Consumer;

import org.copperspindle.discovery.UpstreamNews;

/**
 * Speaks to the upstreams of stage pools.
 */
public interface StagePort {

    /**
     * Sends a call.
     *
     * @param upstream      who makes the pieces
     * @param items         the pieces
     * @param timeoutMillis after which the call counts as lost
     * @param callback      told once how it ended
     */
    void run(UpstreamNews upstream, List<StageItem> items, long timeoutMillis, Consumer<StageCallResult> callback);

    /**
     * Gives results up, without waiting for an answer: their maker forgets them by itself after a while.
     *
     * @param upstream who made them
     * @param handles  their handles
     */
    void free(UpstreamNews upstream, List<String> handles);
}
