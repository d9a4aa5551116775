package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.version.SoftwareInUseMessage;

/**
 * Decides how long a further software version of a pool is not taken into use. Streams of the only version in use have no
 * records and can't be told from those of a second one, so a further version waits while the callers of nodes that have
 * ended come back, unless new streams need it. Must be used on the network thread.
 */
final class SoftwareDeferral {

    /** How long after the start of a node the callers of streams that broke off with its former process come back. */
    private static final long RETURN_NANOS = Duration.ofSeconds(5).toNanos();

    /** Time in which the upstreams that serve announce themselves at a node that has just started. */
    private static final long ANNOUNCEMENT_NANOS = Duration.ofSeconds(2).toNanos();

    private static final Logger LOGGER = LogManager.getLogger(SoftwareDeferral.class);

    private final UpstreamDirectory directory;
    private final long startedAt;
    private final Set<String> logged = new HashSet<>();
    private OptionalLong nodeUpAt;

    /**
     * Creates the decision of a node that starts now.
     *
     * @param directory  the known upstreams
     * @param now        monotonic time in nanoseconds
     * @param firstStart whether no process of this node has run before, so that no streams have broken off with one
     */
    SoftwareDeferral(UpstreamDirectory directory, long now, boolean firstStart) {
        this.directory = directory;
        this.startedAt = now;
        this.nodeUpAt = firstStart ? OptionalLong.empty() : OptionalLong.of(now);
    }

    /** Records that a node with whose former process streams may have broken off is up. */
    void onNodeUp(long now) {
        nodeUpAt = OptionalLong.of(now);
    }

    /**
     * Returns whether a further version waits.
     *
     * @param pool    name of the pool
     * @param version a version that is not in use
     * @param inUse   the versions of the pool that are in use
     * @param now     monotonic time in nanoseconds
     * @return false at the latest 5 s after this node has learned of the version
     */
    boolean defers(String pool, String version, List<String> inUse, long now) {
        boolean defers = !inUse.isEmpty()
                && callersReturn(pool, version, now)
                && (now - startedAt < ANNOUNCEMENT_NANOS || isServedMostlyBy(inUse, pool));
        if (defers && logged.size() < SoftwareInUseMessage.MAX_VERSIONS && logged.add(pool + ' ' + version)) {
            LOGGER.info("event=software-deferred pool={} software={} in_use={}", pool, version, inUse);
        }
        return defers;
    }

    private boolean callersReturn(String pool, String version, long now) {
        if (nodeUpAt.isEmpty() || now - nodeUpAt.getAsLong() >= RETURN_NANOS) {
            return false;
        }
        // Without this bound, nodes that start one after the other could keep a version waiting for good.
        OptionalLong learnedAt = directory.softwareLearnedAt(pool, new SoftwareVersion(version));
        return learnedAt.isPresent() && now - learnedAt.getAsLong() < RETURN_NANOS;
    }

    /** Returns whether at least half of the upstreams of a pool run one of some versions. */
    private boolean isServedMostlyBy(List<String> versions, String pool) {
        List<UpstreamRecord> ready = directory.ready(pool);
        long running = ready.stream()
                .filter(upstream -> versions.contains(upstream.software().text()))
                .count();
        return running > 0 && 2 * running >= ready.size();
    }
}
