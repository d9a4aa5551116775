package org.copperspindle.gateway;

import java.util.OptionalLong;

/**
 * One complete event of a stream, or a comment between events.
 *
 * @param bytes      the event as received, including the blank line that ends it
 * @param id         its id, if that is a number
 * @param hasContent whether it has an id or a line of data; a comment has neither
 */
record StreamEvent(byte[] bytes, OptionalLong id, boolean hasContent) {

    /** Returns an event id as a number; empty if it is none: ids may be any text, but only numbers have an order. */
    static OptionalLong numericId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
