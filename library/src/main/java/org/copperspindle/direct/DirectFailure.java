package org.copperspindle.direct;

/**
 * Failure of a call that got no complete response.
 *
 * @param sent           false if no byte of the call was sent, so that it cannot have run
 * @param connectionLost true if the connection ended or could not be opened; false if this side closed it because of
 *                       what it received
 * @param possiblyStale  true if the call was sent on a kept connection and nothing was received on it: the upstream
 *                       may have been gone before
 * @param memoryShort    true if this node broke off the response because its own memory is short
 * @param reason         short description of the cause
 */
public record DirectFailure(
        boolean sent, boolean connectionLost, boolean possiblyStale, boolean memoryShort, String reason) {

    /**
     * Creates a failure for which memory of this node is not the cause.
     *
     * @param sent           false if no byte of the call was sent
     * @param connectionLost true if the connection ended or could not be opened
     * @param possiblyStale  true if the upstream may have been gone before
     * @param reason         short description of the cause
     */
    public DirectFailure(boolean sent, boolean connectionLost, boolean possiblyStale, String reason) {
        this(sent, connectionLost, possiblyStale, false, reason);
    }

    /**
     * Creates the failure of a call that this node does not send.
     *
     * @param reason short description of the cause
     * @return the failure, in which the upstream has no part
     */
    public static DirectFailure rejected(String reason) {
        return new DirectFailure(false, false, false, reason);
    }

    /**
     * Creates the failure of a call whose response this node broke off because its own memory is short.
     *
     * @param reason short description of the cause
     * @return the failure, in which the upstream has no part; the call may have run
     */
    public static DirectFailure brokenOff(String reason) {
        return new DirectFailure(true, false, false, true, reason);
    }

    /**
     * Returns whether this node did not send the call for reasons of its own.
     *
     * @return true if the failure says nothing about the upstream
     */
    public boolean isRejected() {
        return !sent && !connectionLost;
    }
}
