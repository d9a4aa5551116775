package org.copperspindle.gateway;

import java.util.Optional;

/**
 * Result of an operator's request to the control group.
 */
public sealed interface ControlResponse {

    /**
     * The request was committed by a majority.
     *
     * @param version newest accepted version, 0 if there is none
     * @param text    text of that version
     */
    record Recorded(long version, Optional<byte[]> text) implements ControlResponse {}

    /**
     * The request is invalid; nothing was committed.
     *
     * @param problem what is wrong and where
     */
    record Invalid(String problem) implements ControlResponse {}

    /**
     * Another node is the leader; the request has to be sent there.
     *
     * @param control IP:PORT of its control endpoint
     */
    record Elsewhere(String control) implements ControlResponse {}

    /**
     * The request cannot be answered now, or its outcome is unknown.
     *
     * @param reason why
     */
    record Unavailable(String reason) implements ControlResponse {}
}
