package org.copperspindle.origin;

import java.util.function.Consumer;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * Knows at which software version streams began. Must be used on the network thread.
 */
public interface StreamOrigins {

    /**
     * Returns whether an upstream may begin streams that callers may take up elsewhere.
     *
     * @param upstream the upstream
     * @return false while other nodes may not know that its version is in use
     */
    boolean mayBegin(UpstreamRecord upstream);

    /**
     * Returns whether this node has just started and may not have heard of all upstreams that serve.
     *
     * @return false once the upstreams that serve have announced themselves
     */
    boolean isLearning();

    /**
     * Records the version of a stream. No two versions may be recorded for one stream: after a start of all nodes the older
     * record may be the only one that is left.
     *
     * @param key      the stream
     * @param upstream the upstream that begins it or goes on with it
     * @param order    number of the record of this stream, from 1
     */
    void record(StreamKey key, UpstreamRecord upstream, long order);

    /**
     * Finds the version at which a stream began.
     *
     * @param key      the stream
     * @param pool     its pool
     * @param listener receives the result once, perhaps before this returns
     */
    void find(StreamKey key, String pool, Consumer<OriginResult> listener);
}
