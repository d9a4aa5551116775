package org.copperspindle.gateway;

import java.util.OptionalLong;

/**
 * One complete event of a stream.
 *
 * @param bytes the event as received, including the blank line that ends it
 * @param id    its id, if that is a number
 */
record StreamEvent(byte[] bytes, OptionalLong id) {}
