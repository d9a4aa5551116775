package org.copperspindle.direct;

/**
 * A call that got no whole answer.
 *
 * @param sent   false if no byte of it left, so that it cannot have run
 * @param reason what happened, in short
 */
public record DirectFailure(boolean sent, String reason) {}
