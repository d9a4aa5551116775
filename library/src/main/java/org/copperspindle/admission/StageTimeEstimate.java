package org.copperspindle.admission;

/**
 * Estimated times of a request that starts now, by the waits that its pools report. All times in nanoseconds.
 *
 * @param minimum   time to the first event without any queueing
 * @param estimated estimated time to the first event
 * @param stages    the part of the estimated time that its stages take
 */
public record StageTimeEstimate(long minimum, long estimated, long stages) {}
