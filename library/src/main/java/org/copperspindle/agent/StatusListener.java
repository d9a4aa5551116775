package org.copperspindle.agent;

import java.util.function.IntConsumer;

/**
 * Keeps the status of one response, whose body does not matter. The callbacks run on the client's network thread.
 */
final class StatusListener implements UpstreamResponseListener {

    private final IntConsumer answered;
    private final Runnable lost;
    private int status;

    /**
     * Creates a listener for one call.
     *
     * @param answered told the status of a whole response
     * @param lost     run if the response will never be whole
     */
    StatusListener(IntConsumer answered, Runnable lost) {
        this.answered = answered;
        this.lost = lost;
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
    public boolean wantsMore() {
        return true;
    }

    @Override
    public void onEnd() {
        answered.accept(status);
    }

    @Override
    public void onFailure(boolean sent, String reason) {
        lost.run();
    }
}
