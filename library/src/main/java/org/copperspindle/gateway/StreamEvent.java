package org.copperspindle.gateway;

import java.util.OptionalLong;

/**
 * One whole event of a stream.
 *
 * @param bytes as it came, with the blank line that ends it
 * @param id    its id, if it has a number
 */
record StreamEvent(byte[] bytes, OptionalLong id) {}
