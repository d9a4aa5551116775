package org.copperspindle.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Lives of upstreams that are known to have ended, the newest of them. A request that is sent there, on a connection that was
 * kept, loses it and ran nowhere: it must not be blamed for the end.
 */
final class EndedUpstreams {

    /** More than end within the minutes in which connections are kept; some 50 bytes each. */
    private static final int MAX_LIVES = 2048;

    private final Set<String> lives = new LinkedHashSet<>();

    void add(Collection<String> ended) {
        lives.addAll(ended);
        while (lives.size() > MAX_LIVES) {
            lives.remove(lives.iterator().next());
        }
    }

    boolean contains(UpstreamLife life) {
        return !lives.isEmpty() && lives.contains(life.text());
    }

    /** Takes back that an upstream ended, since it answers. */
    void answered(UpstreamLife life) {
        if (!lives.isEmpty()) {
            lives.remove(life.text());
        }
    }
}
