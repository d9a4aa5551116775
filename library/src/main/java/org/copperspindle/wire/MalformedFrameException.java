package org.copperspindle.wire;

/**
 * A received frame is not one that this protocol can have sent. Its connection is closed; others are not disturbed.
 */
public final class MalformedFrameException extends Exception {

    /**
     * Describes the fault.
     *
     * @param message what is wrong, without the frame's content
     */
    public MalformedFrameException(String message) {
        super(message);
    }

    /**
     * Describes the fault.
     *
     * @param message what is wrong, without the frame's content
     * @param cause   the codec's failure
     */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
