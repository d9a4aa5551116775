package org.copperspindle.emulator;

/**
 * How a fake spoils an answer that it has computed.
 */
public enum ResponseFault {
    /** Not at all. */
    NONE,
    /** Half of the answer, then a TCP reset. */
    RESET_IN_THE_MIDDLE,
    /** Half of the answer, then an orderly close before the declared end. */
    TRUNCATE,
    /** A stream that is closed as if whole, without its end mark; whole answers stay as they are. */
    NO_END_MARK,
    /** The answer twice: a stream's events go on after its end mark, a whole answer is followed by a copy. */
    DOUBLE
}
