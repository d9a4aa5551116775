package org.copperspindle.origin;

import org.copperspindle.discovery.SoftwareVersion;

/**
 * Where a stream began, or will begin with its first event.
 *
 * @param software version of the upstream
 * @param order    number of the record of this stream, from 1; a request that moves to another version before its first
 *     event is recorded again, and the largest number is right
 */
public record StreamOrigin(SoftwareVersion software, long order) {}
