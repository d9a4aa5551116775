package org.copperspindle.gateway;

import java.util.function.BooleanSupplier;

import org.copperspindle.admission.FleetStageStarts;
import org.copperspindle.admission.StageAdmission;
import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.backpressure.UpstreamLoads;
import org.copperspindle.batch.BatchService;
import org.copperspindle.direct.DirectClient;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.engineload.EngineLoads;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.origin.SharedStreamOrigins;
import org.copperspindle.overload.NodeOverload;
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.standby.StandbyDispatchers;
import org.copperspindle.version.MemberStatus;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;

/**
 * Components of a node whose state is published as metrics.
 *
 * @param readiness            whether new requests are accepted
 * @param mesh                 the other nodes
 * @param client               the connections to upstreams
 * @param versionExchange      status of the control group as known to this node
 * @param versionHolder        the configuration version held
 * @param directory            the known upstreams
 * @param limits               limits announced by upstreams
 * @param permits              permits for upstreams with a limit
 * @param backoffs             upstreams that have requested a backoff
 * @param loads                what upstreams have stated of their load
 * @param batches              the work on stages
 * @param engineLoads          the measured engines
 * @param stageAdmission       admission to the stages
 * @param stageStarts          starts of stages that are agreed with other nodes
 * @param standby              takeovers of pools by this node
 * @param retryBudget          the limit on retries
 * @param counters             the counts of requests
 * @param quarantine           quarantines requests that terminate their upstreams
 * @param overload             whether this node and the others are overloaded
 * @param ignoredAnnouncements counts announcements that do not identify an upstream
 * @param memory               memory held for callers
 * @param pausedUpstreams      upstreams that are not read because their callers don't read
 * @param origins              at which software version streams began
 */
record NodeState(
        BooleanSupplier readiness,
        NodeMesh mesh,
        DirectClient client,
        VersionExchange versionExchange,
        VersionHolder versionHolder,
        UpstreamDirectory directory,
        UpstreamLimits limits,
        SendPermits permits,
        UpstreamBackoffs backoffs,
        UpstreamLoads loads,
        BatchService batches,
        EngineLoads engineLoads,
        StageAdmission stageAdmission,
        FleetStageStarts stageStarts,
        StandbyDispatchers standby,
        SharedRetryBudget retryBudget,
        GatewayCounters counters,
        RequestQuarantine quarantine,
        NodeOverload overload,
        IgnoredAnnouncements ignoredAnnouncements,
        HeldMemory memory,
        PausedUpstreams pausedUpstreams,
        SharedStreamOrigins origins) {

    boolean isReady() {
        return readiness.getAsBoolean();
    }

    /** Returns how many other nodes are connected. */
    int connectedNodes() {
        return mesh.count();
    }

    /** Returns how many connections to upstreams have been opened. */
    long connects() {
        return client.connects();
    }

    MemberStatus status() {
        return versionExchange.status();
    }
}
