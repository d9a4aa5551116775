package org.copperspindle.gateway;

/**
 * How long a request takes that begins now, by what its pools tell of their waits. All times in nanoseconds.
 *
 * @param shortest       time to its first event if nothing waited
 * @param reckoned       time to its first event
 * @param reckonedStages the part of that until its stages are done
 */
record StageForecast(long shortest, long reckoned, long reckonedStages) {}
