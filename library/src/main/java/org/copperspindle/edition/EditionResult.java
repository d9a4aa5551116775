package org.copperspindle.edition;

import java.util.Optional;

/**
 * How a question to the control group ended.
 */
public sealed interface EditionResult {

    /**
     * Committed: the state holds everything that was acknowledged before the question came.
     *
     * @param version newest version, 0 if none
     * @param newest  its text
     */
    record Recorded(long version, Optional<EditionMessage> newest) implements EditionResult {}

    /** This member does not lead; nothing was recorded. */
    record NotLeading() implements EditionResult {}

    /** The leader lost its place meanwhile: the change may or may not be recorded. */
    record Unknown() implements EditionResult {}
}
