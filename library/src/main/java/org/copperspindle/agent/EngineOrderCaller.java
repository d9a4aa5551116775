package org.copperspindle.agent;

import java.util.function.Consumer;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.fleet.EngineOrderClient;
import org.copperspindle.fleet.EngineRequest;

/**
 * Sends the calls of engine orders to the upstream. Loading may take minutes, so no timeout is set here; the leader's
 * settings decide when an order has failed.
 */
final class EngineOrderCaller implements EngineOrderClient {

    private static final int MAX_RESPONSE = 1 << 16;

    private final DecisionRing ring;
    private final UpstreamClient client;

    EngineOrderCaller(DecisionRing ring, UpstreamClient client) {
        this.ring = ring;
        this.client = client;
    }

    @Override
    public void send(EngineRequest request, Consumer<Integer> callback) {
        UpstreamCall call = new UpstreamCall(
                request.path(),
                request.body(),
                request.orderId(),
                request.orderId(),
                false,
                MAX_RESPONSE,
                request.fencingNumber());
        client.call(
                call, new StatusListener(status -> handOver(callback, status), () -> handOver(callback, NO_RESPONSE)));
    }

    private void handOver(Consumer<Integer> callback, int status) {
        ring.offerWithRetry(() -> callback.accept(status), client.scheduler());
    }
}
