package org.copperspindle.gateway;

import java.util.random.RandomGenerator;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.FetchTimeEstimator;
import org.copperspindle.coldstart.ColdAdmission;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.mesh.IsolationDetector;
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.time.TimerService;

/**
 * What all requests of a node share.
 *
 * @param timers              time on the network thread
 * @param callers             how callers write
 * @param upstreams           how upstreams are spoken to
 * @param port                sends calls
 * @param batches             makes the pieces of stages
 * @param gossip              tells other nodes of upstreams that have left
 * @param tracker             what was seen of upstreams
 * @param chooser             chooses upstreams
 * @param coldAdmission       parts what cold upstreams bear among the nodes
 * @param permits             admits to upstreams that have named a limit
 * @param retryBudget         bounds repeats
 * @param stageAdmission      decides when stages begin
 * @param fetchTime           how long upstreams take to fetch stage results
 * @param firstEventLatencies how long upstreams take after the stages
 * @param streamDurations     how long streams take after their first event
 * @param isolation           tells whether this node is cut off from the others
 * @param openRequests        requests in progress
 * @param counters            counts requests
 * @param log                 bounds log lines
 * @param random              draws pools by weight
 * @param retryAfterDelays    when refused callers should come back
 * @param quarantine          holds requests off that end their upstreams
 */
record GatewayContext(
        TimerService timers,
        CallerDialect callers,
        UpstreamDialect upstreams,
        UpstreamPort port,
        BatchService batches,
        DirectoryGossip gossip,
        UpstreamTracker tracker,
        UpstreamChooser chooser,
        ColdAdmission coldAdmission,
        SendPermits permits,
        SharedRetryBudget retryBudget,
        StageAdmission stageAdmission,
        FetchTimeEstimator fetchTime,
        FirstEventLatencies firstEventLatencies,
        StreamDurations streamDurations,
        IsolationDetector isolation,
        OpenRequests openRequests,
        GatewayCounters counters,
        DecisionLog log,
        RandomGenerator random,
        RetryAfterDelays retryAfterDelays,
        RequestQuarantine quarantine) {}
