package org.copperspindle.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The most recent upstream incarnations that are known to have terminated. A request sent to one of them on a
 * kept-alive connection loses the connection without having run, so it must not be suspected.
 */
final class TerminatedUpstreams {

    /** More than terminate within the minutes for which connections are kept alive; about 50 bytes each. */
    private static final int MAX_INCARNATIONS = 2048;

    private final Set<String> incarnations = new LinkedHashSet<>();

    void add(Collection<String> terminated) {
        incarnations.addAll(terminated);
        while (incarnations.size() > MAX_INCARNATIONS) {
            incarnations.remove(incarnations.iterator().next());
        }
    }

    boolean contains(UpstreamIncarnation incarnation) {
        return !incarnations.isEmpty() && incarnations.contains(incarnation.text());
    }

    /** Removes an incarnation that answered and is therefore alive. */
    void markAlive(UpstreamIncarnation incarnation) {
        if (!incarnations.isEmpty()) {
            incarnations.remove(incarnation.text());
        }
    }
}
