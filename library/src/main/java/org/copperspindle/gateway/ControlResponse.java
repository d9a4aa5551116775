package org.copperspindle.gateway;

import java.util.Optional;

/**
 * How a question of an operator ended.
 */
public sealed interface ControlResponse {

    /**
     * Recorded by a majority.
     *
     * @param version newest accepted version, 0 if there is none
     * @param text    its text
     */
    record Recorded(long version, Optional<byte[]> text) implements ControlResponse {}

    /**
     * What was sent is invalid; nothing of it was recorded.
     *
     * @param problem what is wrong and where
     */
    record Invalid(String problem) implements ControlResponse {}

    /**
     * Another node answers.
     *
     * @param control IP:PORT of its door for operators
     */
    record Elsewhere(String control) implements ControlResponse {}

    /**
     * No clear answer can be given now.
     *
     * @param reason why
     */
    record Unavailable(String reason) implements ControlResponse {}
}
