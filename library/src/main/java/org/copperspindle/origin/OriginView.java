package org.copperspindle.origin;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.copperspindle.discovery.SoftwareVersion;

/**
 * What one node knows of the origin of a stream.
 *
 * @param origin   its record; empty if the node has none
 * @param versions versions that served in the pool while the stream may have begun
 * @param informed whether the node knows of every version that is in use elsewhere
 */
public record OriginView(Optional<StreamOrigin> origin, List<SoftwareVersion> versions, boolean informed) {

    /** Copies the list. */
    public OriginView {
        versions = List.copyOf(versions);
    }

    /**
     * Returns the newest record of a stream.
     *
     * @param views what this node and others know
     * @return empty if none of them has a record
     */
    static Optional<StreamOrigin> newest(Collection<OriginView> views) {
        return views.stream()
                .flatMap(view -> view.origin().stream())
                .max(Comparator.comparingLong(StreamOrigin::order));
    }
}
