package org.copperspindle.gateway;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.backpressure.UpstreamRests;
import org.copperspindle.batch.BatchService;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.edition.EditionHolder;
import org.copperspindle.edition.MemberStatus;
import org.copperspindle.quarantine.RequestQuarantine;

/**
 * What a node shows of itself.
 */
interface NodeState {

    /** Says whether new callers are taken. */
    boolean isReady();

    /** Returns how many other nodes are connected. */
    int nodes();

    /** Returns how many connections to upstreams were opened. */
    long connects();

    /** Returns the limits that upstreams have named. */
    UpstreamLimits limits();

    /** Returns the permits to send to upstreams that have named a limit. */
    SendPermits permits();

    /** Returns the upstreams that want nothing for a while. */
    UpstreamRests rests();

    /** Returns what this node's member of the control group knows. */
    MemberStatus status();

    /** Returns the version held. */
    EditionHolder holder();

    /** Returns the known upstreams. */
    UpstreamDirectory directory();

    /** Returns the stage work. */
    BatchService batches();

    /** Returns the gate before the stages. */
    StageGate gate();

    /** Returns the bound on repeats. */
    SharedRetryBudget budget();

    /** Returns the counts of requests. */
    GatewayCounters counters();

    /** Returns what holds requests off that end their upstreams. */
    RequestQuarantine quarantine();

    /** Returns the counts of announcements that name no upstream. */
    IgnoredAnnouncements ignored();
}
