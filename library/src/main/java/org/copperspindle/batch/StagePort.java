package org.copperspindle.batch;

import java.util.List;
import java.util.function.Consumer;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * Sends calls to the upstreams of stage pools.
 */
public interface StagePort {

    /**
     * Sends a call.
     *
     * @param upstream      the upstream that runs the pieces
     * @param items         the pieces
     * @param timeoutMillis time after which the call counts as lost
     * @param callback      called once with the result
     */
    void run(UpstreamRecord upstream, List<StageItem> items, long timeoutMillis, Consumer<StageCallResult> callback);

    /**
     * Releases results. If the release does not arrive, they expire at their producer after a while.
     *
     * @param upstream the upstream that produced them
     * @param handles  their handles
     * @param ended    called once the upstream has answered or is not expected to answer any more
     */
    void releaseResults(UpstreamRecord upstream, List<String> handles, Runnable ended);
}
