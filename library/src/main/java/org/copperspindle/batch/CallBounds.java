package org.copperspindle.batch;

/**
 * Bounds of the next call to an upstream.
 *
 * @param pieces   maximum number of pieces; below the limit of a call if several upstreams are free
 * @param bytes    free memory for results at the upstream, in bytes
 * @param takesAll whether groups that prefer to wait for another upstream are included too, after the others
 */
record CallBounds(int pieces, long bytes, boolean takesAll) {}
