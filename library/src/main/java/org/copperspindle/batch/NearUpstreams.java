package org.copperspindle.batch;

import java.util.Optional;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;

/**
 * Decides which groups wait for an upstream of one pool that is near their inputs or the reader of their results.
 */
final class NearUpstreams {

    private final UpstreamDirectory directory;
    private final PoolUpstreams upstreams;

    NearUpstreams(UpstreamDirectory directory, PoolUpstreams upstreams) {
        this.directory = directory;
        this.upstreams = upstreams;
    }

    /**
     * Returns whether a group should be sent to an upstream now. A group with large inputs or results waits a while
     * for an upstream in the failure domain where they were produced or will be read, as long as its request stays on
     * time: traffic between failure domains is the largest cost of stage work.
     */
    boolean shouldSendTo(WaitingGroup group, StageUpstream upstream, long now, BatchLimits known) {
        long wait = group.maxNearWaitNanos(known);
        if (now - group.arrivedAt() >= wait) {
            return true;
        }
        Optional<String> domain = group.prefersReaderDomain()
                ? Optional.of(group.group().readerDomain())
                : group.group().inputs().stream().findFirst().flatMap(this::domainOf);
        return domain.isEmpty()
                || domain.get().equals(upstream.announced().failureDomain())
                || !upstreams.isFreeWithin(domain.get(), group.arrivedAt() + wait - now, now);
    }

    private Optional<String> domainOf(StageResult input) {
        return directory.find(input.producer()).map(UpstreamRecord::failureDomain);
    }
}
