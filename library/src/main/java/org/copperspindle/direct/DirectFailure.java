package org.copperspindle.direct;

/**
 * A call that got no whole answer.
 *
 * @param sent           false if no byte of it left, so that it cannot have run
 * @param connectionLost true if its connection ended or could not be opened; false if this side broke it off for what
 *                       came over it
 * @param possiblyStale  true if it went out on a connection that was kept, and nothing came back on that one: the
 *                       upstream may have been
 *                       gone before
 * @param reason         what happened, in short
 */
public record DirectFailure(boolean sent, boolean connectionLost, boolean possiblyStale, String reason) {}
