package org.copperspindle.agent;

/**
 * Hears one upstream's response. Called on the client's network thread, in order; exactly one of {@link #onEnd} and
 * {@link #onFailure} ends it.
 */
public interface UpstreamResponseListener {

    /**
     * The head arrived.
     *
     * @param head what it says
     */
    void onHead(UpstreamHead head);

    /**
     * A piece of the body arrived.
     *
     * @param data the piece
     */
    void onData(byte[] data);

    /**
     * Says whether more of the body can be taken now. While it can't, the connection to the upstream is not read.
     *
     * @return false to pause
     */
    boolean wantsMore();

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
