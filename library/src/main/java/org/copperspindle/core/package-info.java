/**
 * Single-threaded decision loop on an LMAX Disruptor ring; all decisions of a daemon run on it.
 */
package org.copperspindle.core;
