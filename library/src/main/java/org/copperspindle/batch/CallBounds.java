package org.copperspindle.batch;

/**
 * What the next call of an upstream may take.
 *
 * @param pieces   most pieces, below the limit of a call if several upstreams are free
 * @param bytes    memory for results that the upstream has left
 * @param takesAll whether groups that would rather wait for another upstream go too, behind the others
 */
record CallBounds(int pieces, long bytes, boolean takesAll) {}
