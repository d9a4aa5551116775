package org.copperspindle.emulator;

import java.time.Duration;

/**
 * What one fake has done so far.
 *
 * @param calls executions
 * @param busy  sum of the times that calls held a slot
 */
public record FakeUsage(long calls, Duration busy) {}
