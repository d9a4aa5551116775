package org.copperspindle.wire;

/**
 * Thrown when a received frame is not a valid message of this protocol. Only the connection that it came from is
 * closed.
 */
public final class MalformedFrameException extends Exception {

    /**
     * Creates an exception.
     *
     * @param message what is wrong, without the frame's content
     */
    public MalformedFrameException(String message) {
        super(message);
    }

    /**
     * Creates an exception.
     *
     * @param message what is wrong, without the frame's content
     * @param cause   the exception thrown by the codec
     */
    public MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
