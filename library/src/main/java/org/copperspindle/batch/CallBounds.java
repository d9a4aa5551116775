package org.copperspindle.batch;

/**
 * Bounds of the next call to an upstream.
 *
 * @param pieces   maximum number of pieces; below the limit of a call if several upstreams are free
 * @param bytes    free memory for results at the upstream, in bytes
 * @param takesAll whether groups that prefer to wait for another upstream are included too, after the others
 * @param pace     multiple of the usual time that work takes the upstream now; groups that would be late there come after
 *                 those that would not
 */
record CallBounds(int pieces, long bytes, boolean takesAll, double pace) {}
