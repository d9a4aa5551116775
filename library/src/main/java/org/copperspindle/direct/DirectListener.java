package org.copperspindle.direct;

/**
 * Receives the answer to a call, on the network thread: a head, data, then the end; or at any moment a failure, which
 * ends it. Nothing comes after the end or the failure.
 */
public interface DirectListener {

    /**
     * The head arrived, and it belongs to this call.
     *
     * @param head status and fields
     */
    void onHead(DirectHead head);

    /**
     * A part of the body arrived.
     *
     * @param data its bytes, not changed afterwards
     */
    void onData(byte[] data);

    /** The framing shows that the answer is whole. */
    void onEnd();

    /**
     * There will be no whole answer.
     *
     * @param failure what is known
     */
    void onFailure(DirectFailure failure);
}
