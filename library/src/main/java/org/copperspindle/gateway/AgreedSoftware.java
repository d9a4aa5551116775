package org.copperspindle.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.origin.ObservedSoftware;
import org.copperspindle.origin.OriginView;
import org.copperspindle.origin.SoftwareInUse;
import org.copperspindle.time.TimerService;
import org.copperspindle.version.SoftwareInUseMessage;
import org.copperspindle.version.VersionHolder;

/**
 * The versions in use that the control group has recorded, which outlive a start of all nodes. A version begins streams
 * only once it is recorded; a confirmation that is requested after a stream was taken up therefore names the version
 * that began it. While the leader keeps no such list, the versions that nodes have heard of are used instead.
 */
final class AgreedSoftware implements SoftwareInUse {

    /** How long a confirmation is sought: a lost leader is replaced in twice the election timeout. */
    private static final long CONFIRMATION_NANOS = ControlGroupMember.ELECTION_TIMEOUT
            .multipliedBy(2)
            .plus(Duration.ofMillis(500))
            .toNanos();

    private final VersionHolder holder;
    private final ObservedSoftware observed;
    private final BooleanSupplier isolated;
    private final TimerService timers;

    /**
     * Creates the conclusion of one node.
     *
     * @param holder   holds the recorded versions
     * @param observed the versions that this node has heard of
     * @param isolated whether this node does not reach most of the others, so that no leader will answer it
     * @param timers   timers of the network thread
     */
    AgreedSoftware(VersionHolder holder, ObservedSoftware observed, BooleanSupplier isolated, TimerService timers) {
        this.holder = holder;
        this.observed = observed;
        this.isolated = isolated;
        this.timers = timers;
    }

    @Override
    public boolean mayBegin(UpstreamRecord upstream) {
        return holder.isSoftwareKept()
                ? recorded().contains(upstream.pool(), upstream.software().text())
                : observed.mayBegin(upstream);
    }

    /**
     * {@inheritDoc} A version that was heard of counts before it is recorded: the streams that a node has begun until then
     * are stored elsewhere earlier.
     */
    @Override
    public boolean isMixed(String pool) {
        return holder.isSoftwareKept() && recorded().versions(pool).size() > 1 || observed.isMixed(pool);
    }

    @Override
    public void findOnly(String pool, List<OriginView> views, Consumer<Optional<SoftwareVersion>> listener) {
        findOnly(pool, views, timers.nanoTime() + CONFIRMATION_NANOS, listener);
    }

    private void findOnly(
            String pool, List<OriginView> views, long until, Consumer<Optional<SoftwareVersion>> listener) {
        holder.confirm(confirmed -> {
            if (confirmed) {
                conclude(pool, views, listener);
            } else if (mayBecomeKnown(pool, until)) {
                findOnly(pool, views, until, listener);
            } else {
                listener.accept(Optional.empty());
            }
        });
    }

    private boolean mayBecomeKnown(String pool, long until) {
        return timers.nanoTime() - until < 0
                && !isolated.getAsBoolean()
                && recorded().versions(pool).size() <= 1;
    }

    private void conclude(String pool, List<OriginView> views, Consumer<Optional<SoftwareVersion>> listener) {
        List<String> versions = recorded().versions(pool);
        if (!holder.isSoftwareKept() || versions.isEmpty()) {
            // Without a recorded version the pool has begun no stream that may be resumed.
            observed.findOnly(pool, views, listener);
            return;
        }
        listener.accept(versions.size() == 1 ? Optional.of(new SoftwareVersion(versions.get(0))) : Optional.empty());
    }

    private SoftwareInUseMessage recorded() {
        return holder.software();
    }
}
