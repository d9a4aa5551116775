package org.copperspindle.soak;

import java.util.Optional;
import java.util.Random;

/**
 * The software versions of engines over one soak: two serve at any time, and now and then the older one is replaced by a
 * new one. Their events don't fit together.
 */
final class EngineVersions {

    /** Versions that are released over the time of a soak. */
    private static final int RELEASES = 3;

    private final long startedAt;
    private final long millis;
    private final Random random;
    private Optional<String> only = Optional.empty();

    EngineVersions(long startedAt, long millis, Random random) {
        this.startedAt = startedAt;
        this.millis = millis;
        this.random = random;
    }

    /** Lets all engines that start from now on run one version. */
    void only(String version) {
        only = Optional.of(version);
    }

    /** Returns the version of an engine that starts now. */
    String next(long now) {
        if (only.isPresent()) {
            return only.get();
        }
        long release = Math.min(RELEASES, (now - startedAt) * (RELEASES + 1) / millis);
        return "v" + (release + random.nextInt(2));
    }
}
