package org.copperspindle.agent;

import java.util.function.Consumer;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.fleet.EngineOrderClient;
import org.copperspindle.fleet.EngineRequest;

/**
 * Sends the calls of orders to the upstream. A load may take minutes, so no time limit is set here; the leader gives an
 * order up by its own settings.
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
        client.call(call, new StatusListener(callback));
    }

    private void handOver(Runnable task) {
        ring.offerUntilTaken(task, client.scheduler());
    }

    /** Keeps the status of one answer; the body does not matter. */
    private final class StatusListener implements UpstreamResponseListener {
        private final Consumer<Integer> callback;
        private int status = NO_ANSWER;

        private StatusListener(Consumer<Integer> callback) {
            this.callback = callback;
        }

        @Override
        public void onHead(UpstreamHead head) {
            status = head.status();
        }

        @Override
        public void onData(byte[] data) {
            // not needed
        }

        @Override
        public boolean wantsMore() {
            return true;
        }

        @Override
        public void onEnd() {
            int answered = status;
            handOver(() -> callback.accept(answered));
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            handOver(() -> callback.accept(NO_ANSWER));
        }
    }
}
