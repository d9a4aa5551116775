package org.copperspindle.batch;

import java.util.List;
import java.util.function.Consumer;

import org.copperspindle.discovery.UpstreamRecord;

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
    void run(UpstreamRecord upstream, List<StageItem> items, long timeoutMillis, Consumer<StageCallResult> callback);

    /**
     * Gives results up. Their maker forgets them by itself after a while if it does not hear of it.
     *
     * @param upstream who made them
     * @param handles  their handles
     * @param ended    told once the maker has answered, or will not answer any more
     */
    void free(UpstreamRecord upstream, List<String> handles, Runnable ended);
}
