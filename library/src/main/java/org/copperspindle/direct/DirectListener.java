package org.copperspindle.direct;

import java.util.Optional;

import org.copperspindle.memory.MemoryHolder;

/**
 * Receives the progress of a call, on the network thread: that it is sent, then a head, data, then the end; or at any
 * moment a failure. Nothing follows the end or the failure.
 */
public interface DirectListener {

    /**
     * Returns whether a call that had to wait may still be sent.
     *
     * @return false if its upstream takes no calls any more; the call then fails unsent
     */
    default boolean maySend() {
        return true;
    }

    /**
     * The call is about to be written to an open connection; opening a new one may have taken a while. Called again if a
     * kept connection was lost at once and the call is sent on a new one.
     */
    default void onSent() {}

    /**
     * The head was received, and it belongs to this call.
     *
     * @param head status and fields
     */
    void onHead(DirectHead head);

    /**
     * A part of the body was received.
     *
     * @param data its bytes, not changed afterwards
     */
    void onData(byte[] data);

    /**
     * Recognises the complete response to a call of the node's own, which bears no id. Called after the last data, before the
     * connection may carry another call; followed by the end, or by a failure if the response answers another call.
     *
     * @param earlier what earlier responses on its connection held; the listener adds what this one holds, if it is used
     * @return what its content shows
     */
    ResponseProof proof(EarlierResponses earlier);

    /**
     * Returns the holder of the caller's request, in which the fields of the response are counted. If memory is short, it is
     * broken off with all that it holds, and the call is not reported as failed: whoever owns the holder aborts it.
     *
     * @return empty for a call of the node's own
     */
    default Optional<MemoryHolder> memoryHolder() {
        return Optional.empty();
    }

    /** The response is complete according to its framing. */
    void onEnd();

    /**
     * The call failed; there will be no complete response.
     *
     * @param failure what is known of the failure
     */
    void onFailure(DirectFailure failure);
}
