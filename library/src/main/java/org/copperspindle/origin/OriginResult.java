package org.copperspindle.origin;

import org.copperspindle.discovery.SoftwareVersion;

/**
 * What is known of the origin of a stream.
 */
public sealed interface OriginResult {

    /**
     * The stream was recorded.
     *
     * @param origin its newest record
     */
    record Recorded(StreamOrigin origin) implements OriginResult {}

    /**
     * The stream was not recorded, and no other version was in use that could have begun it.
     *
     * @param software the only version
     */
    record OnlyVersion(SoftwareVersion software) implements OriginResult {}

    /** Several versions may have begun the stream. */
    record Unknown() implements OriginResult {}
}
