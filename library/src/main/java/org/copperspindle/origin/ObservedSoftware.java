package org.copperspindle.origin;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.mesh.MajorityWatch;
import org.copperspindle.time.TimerService;

/**
 * Concludes the versions in use from the announcements that nodes have received since they started. After a start of all
 * nodes this misses versions whose upstreams have left, so it serves only while the control group does not record them.
 */
public final class ObservedSoftware implements SoftwareInUse {

    /**
     * How much longer streams are stored elsewhere than a former version counts in an answer: nodes hear of an upstream
     * for the last time at different moments.
     */
    private static final long STORED_LONGER_NANOS = Duration.ofSeconds(10).toNanos();

    private final UpstreamDirectory directory;
    private final MajorityWatch majority;
    private final TimerService timers;
    private final LongSupplier lifetimeNanos;

    /**
     * Creates the conclusion of one node.
     *
     * @param directory     the known upstreams
     * @param majority      whether this node reaches most of the others
     * @param timers        timers of the network thread
     * @param lifetimeNanos supplies the time after which no caller takes a stream up, in nanoseconds from its start
     */
    public ObservedSoftware(
            UpstreamDirectory directory, MajorityWatch majority, TimerService timers, LongSupplier lifetimeNanos) {
        this.directory = directory;
        this.majority = majority;
        this.timers = timers;
        this.lifetimeNanos = lifetimeNanos;
    }

    /** {@inheritDoc} A version that became known in a minority may be unknown to the other side. */
    @Override
    public boolean mayBegin(UpstreamRecord upstream) {
        OptionalLong lostAt = majority.lostAt();
        if (lostAt.isEmpty()) {
            return true;
        }
        OptionalLong learnedAt = directory.softwareLearnedAt(upstream.pool(), upstream.software());
        return learnedAt.isPresent() && learnedAt.getAsLong() - lostAt.getAsLong() < 0;
    }

    @Override
    public boolean isMixed(String pool) {
        return versions(pool, STORED_LONGER_NANOS).size() > 1;
    }

    /**
     * {@inheritDoc} A single version is the answer only if an informed node knows no other: the stream may have begun
     * beyond a partition, or its record may be lost.
     */
    @Override
    public void findOnly(String pool, List<OriginView> views, Consumer<Optional<SoftwareVersion>> listener) {
        Set<SoftwareVersion> versions = new HashSet<>();
        views.forEach(view -> versions.addAll(view.versions()));
        boolean informed = views.stream().anyMatch(OriginView::informed);
        listener.accept(
                informed && versions.size() == 1
                        ? Optional.of(versions.iterator().next())
                        : Optional.empty());
    }

    /** Returns the versions that were heard of while the streams that are taken up now may have begun. */
    List<SoftwareVersion> versions(String pool) {
        return List.copyOf(versions(pool, 0));
    }

    private Set<SoftwareVersion> versions(String pool, long marginNanos) {
        return directory.softwareSince(pool, timers.nanoTime() - lifetimeNanos.getAsLong() - marginNanos);
    }
}
