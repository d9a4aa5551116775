package org.copperspindle.agent;

import java.util.function.IntConsumer;

/**
 * Reports the status of one response, whose body is ignored. The callbacks run on the client's network thread.
 */
final class StatusListener implements UpstreamResponseListener {

    private final IntConsumer onStatus;
    private final Runnable onLost;
    private int status;

    /**
     * Creates a listener for one call.
     *
     * @param onStatus receives the status of a whole response
     * @param onLost   run if no whole response was received
     */
    StatusListener(IntConsumer onStatus, Runnable onLost) {
        this.onStatus = onStatus;
        this.onLost = onLost;
    }

    @Override
    public void onHead(UpstreamHead head) {
        status = head.status();
    }

    @Override
    public void onData(byte[] data) {
        // only the status counts
    }

    @Override
    public boolean acceptsMore() {
        return true;
    }

    @Override
    public void onEnd() {
        onStatus.accept(status);
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        onLost.run();
    }
}
