package org.copperspindle.gateway;

import java.util.Optional;

/**
 * Where a caller takes up a stream that an earlier response of it began.
 *
 * @param lastEventId  id of the last event that the caller received
 * @param firstRequest id of the request whose response brought the first event; empty if the caller names none, or more
 *     than one
 */
public record ResumePoint(String lastEventId, Optional<String> firstRequest) {}
