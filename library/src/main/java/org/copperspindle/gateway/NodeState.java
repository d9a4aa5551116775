package org.copperspindle.gateway;

import java.util.function.BooleanSupplier;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.batch.BatchService;
import org.copperspindle.direct.DirectClient;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.version.MemberStatus;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;

/**
 * What a node shows of itself.
 *
 * @param readiness  says whether new callers are taken
 * @param mesh       the other nodes
 * @param client     the connections to upstreams
 * @param exchange   what this node's member of the control group knows
 * @param holder     the version held
 * @param directory  the known upstreams
 * @param limits     the limits that upstreams have named
 * @param permits    the permits to send to these
 * @param rests      the upstreams that want nothing for a while
 * @param batches    the stage work
 * @param gate       the gate before the stages
 * @param budget     the bound on repeats
 * @param counters   the counts of requests
 * @param quarantine holds requests off that end their upstreams
 * @param ignored    the counts of announcements that name no upstream
 */
record NodeState(
        BooleanSupplier readiness,
        NodeMesh mesh,
        DirectClient client,
        VersionExchange exchange,
        VersionHolder holder,
        UpstreamDirectory directory,
        UpstreamLimits limits,
        SendPermits permits,
        UpstreamBackoffs rests,
        BatchService batches,
        StageAdmission gate,
        SharedRetryBudget budget,
        GatewayCounters counters,
        RequestQuarantine quarantine,
        IgnoredAnnouncements ignored) {

    boolean isReady() {
        return readiness.getAsBoolean();
    }

    /** Returns how many other nodes are connected. */
    int nodes() {
        return mesh.count();
    }

    /** Returns how many connections to upstreams were opened. */
    long connects() {
        return client.connects();
    }

    MemberStatus status() {
        return exchange.status();
    }
}
