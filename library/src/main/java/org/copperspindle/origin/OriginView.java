package org.copperspindle.origin;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

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
     * Decides where a stream began. Without a record a single version is the answer only if an informed node knows no
     * other: the stream may have begun beyond a partition, or its record may be lost.
     *
     * @param views what this node and others know
     * @return the result
     */
    static OriginResult decide(Collection<OriginView> views) {
        Optional<StreamOrigin> newest = views.stream()
                .flatMap(view -> view.origin().stream())
                .max(Comparator.comparingLong(StreamOrigin::order));
        if (newest.isPresent()) {
            return new OriginResult.Recorded(newest.get());
        }
        Set<SoftwareVersion> versions = new HashSet<>();
        views.forEach(view -> versions.addAll(view.versions()));
        boolean informed = views.stream().anyMatch(OriginView::informed);
        return informed && versions.size() == 1
                ? new OriginResult.OnlyVersion(versions.iterator().next())
                : new OriginResult.Unknown();
    }
}
