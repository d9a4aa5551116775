package org.copperspindle.emulator;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What callers hold of their streams: which software versions wrote their events, over all requests in which a caller
 * took a stream up. Not thread-safe.
 */
public final class HeldVersions {

    private final Map<String, Set<String>> byStream = new TreeMap<>();

    /**
     * Adds what a caller got.
     *
     * @param stream id of the request that began the stream
     * @param body   the body, or what came of it, of an upstream with {@link VersionedStream}
     */
    public void add(String stream, String body) {
        byStream.computeIfAbsent(stream, id -> new TreeSet<>()).addAll(VersionedStream.versions(body));
    }

    /**
     * Returns the streams whose events do not fit together.
     *
     * @return versions by stream, empty if each stream has one
     */
    public Map<String, Set<String>> mixed() {
        Map<String, Set<String>> mixed = new TreeMap<>(byStream);
        mixed.values().removeIf(versions -> versions.size() < 2);
        return mixed;
    }
}
