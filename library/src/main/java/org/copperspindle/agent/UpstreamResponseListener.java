package org.copperspindle.agent;

/**
 * Hears one upstream's response. Called on a network thread, in order; exactly one of {@link #onEnd} and
 * {@link #onFailure} ends it.
 */
public interface UpstreamResponseListener {

    /**
     * The head arrived.
     *
     * @param status      HTTP status
     * @param contentType content type, empty if none
     */
    void onHead(int status, String contentType);

    /**
     * A piece of the body arrived.
     *
     * @param data the piece
     */
    void onData(byte[] data);

    /** The framing shows that the response is whole. */
    void onEnd();

    /**
     * The response will never be whole.
     *
     * @param sent   whether any byte of the request may have reached the upstream
     * @param reason what happened
     */
    void onFailure(boolean sent, String reason);
}
