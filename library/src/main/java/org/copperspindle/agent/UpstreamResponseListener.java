package org.copperspindle.agent;

/**
 * Receives one upstream response. Called on the client's network thread, in order; exactly one of {@link #onEnd} and
 * {@link #onFailure} ends it.
 */
public interface UpstreamResponseListener {

    /**
     * Called when the head of the response arrived.
     *
     * @param head the head
     */
    void onHead(UpstreamHead head);

    /**
     * Called when a part of the body arrived.
     *
     * @param data the part
     */
    void onData(byte[] data);

    /**
     * Returns whether more of the body is accepted now. While it is not, the connection to the upstream is not read.
     *
     * @return false to pause reading
     */
    boolean acceptsMore();

    /** Called when the framing shows that the response is whole. */
    void onEnd();

    /**
     * Called when the response failed and will never be whole.
     *
     * @param sent   whether any byte of the request may have reached the upstream
     * @param reason reason of the failure
     */
    void onFailure(boolean sent, String reason);
}
