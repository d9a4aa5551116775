package org.copperspindle.direct;

/**
 * Failure of a call that got no complete response.
 *
 * @param sent           false if no byte of the call was sent, so that it cannot have run
 * @param connectionLost true if the connection ended or could not be opened; false if this side closed it because of
 *                       what it received
 * @param possiblyStale  true if the call was sent on a kept connection and nothing was received on it: the upstream
 *                       may have been gone before
 * @param reason         short description of the cause
 */
public record DirectFailure(boolean sent, boolean connectionLost, boolean possiblyStale, String reason) {}
