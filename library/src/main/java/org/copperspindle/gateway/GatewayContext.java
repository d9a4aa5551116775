package org.copperspindle.gateway;

import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.copperspindle.admission.FirstEventLatencies;
import org.copperspindle.admission.RetryAfterDelays;
import org.copperspindle.admission.StageAdmission;
import org.copperspindle.admission.StageStarts;
import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.FetchTimeEstimator;
import org.copperspindle.coldstart.ColdAdmission;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.engineload.EngineLoads;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.mesh.IsolationDetector;
import org.copperspindle.origin.StreamOrigins;
import org.copperspindle.quarantine.RequestQuarantine;
import org.copperspindle.route.RouteTable;
import org.copperspindle.time.TimerService;

/**
 * Components that all requests of a node share.
 *
 * @param timers              timers on the network thread
 * @param callerDialect             reads requests of callers and writes refusals
 * @param upstreamDialect           writes calls to upstreams and reads their responses
 * @param port                sends calls
 * @param batches             runs the pieces of stages
 * @param gossip              announces to other nodes that upstreams have left
 * @param tracker             what was observed of upstreams
 * @param chooser             chooses upstreams
 * @param engineLoads         measures the engines of all pools
 * @param coldAdmission       divides the load that cold upstreams sustain among the nodes
 * @param permits             admits requests to upstreams that have announced a limit
 * @param retryBudget         limits retries
 * @param stageAdmission      decides when stages begin
 * @param stageStarts         asks the controllers of pool groups when stages begin
 * @param fetchTime           estimates how long upstreams take to fetch stage results
 * @param firstEventLatencies how long upstreams take to the first event once the stages are done
 * @param streamDurations     how long streams take after their first event
 * @param isolation           detects that this node is isolated from the others
 * @param openRequests        requests in progress
 * @param counters            counts requests
 * @param log                 limits the rate of log lines
 * @param random              draws pools by weight
 * @param retryAfterDelays    when refused callers should retry
 * @param quarantine          quarantines requests that terminate their upstreams
 * @param resumptions         plans how interrupted streams are resumed
 * @param memory              memory held for callers
 * @param pausedUpstreams     upstreams that are not read because their callers don't read
 * @param origins             at which software version streams began
 * @param heldTable           supplies the newest route table that this node holds
 */
record GatewayContext(
        TimerService timers,
        CallerDialect callerDialect,
        UpstreamDialect upstreamDialect,
        UpstreamPort port,
        BatchService batches,
        DirectoryGossip gossip,
        UpstreamTracker tracker,
        UpstreamChooser chooser,
        EngineLoads engineLoads,
        ColdAdmission coldAdmission,
        SendPermits permits,
        SharedRetryBudget retryBudget,
        StageAdmission stageAdmission,
        StageStarts stageStarts,
        FetchTimeEstimator fetchTime,
        FirstEventLatencies firstEventLatencies,
        StreamDurations streamDurations,
        IsolationDetector isolation,
        OpenRequests openRequests,
        GatewayCounters counters,
        LogRateLimiter log,
        RandomGenerator random,
        RetryAfterDelays retryAfterDelays,
        RequestQuarantine quarantine,
        StreamResumptions resumptions,
        HeldMemory memory,
        PausedUpstreams pausedUpstreams,
        StreamOrigins origins,
        Supplier<Optional<RouteTable>> heldTable) {}
