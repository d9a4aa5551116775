package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.direct.ListenCheck;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Quarantines requests that terminate the upstreams that run them. Such a request may be retried at any node, so each
 * node immediately tells the others under which requests an upstream terminated. If the count were kept at one node,
 * or with the terminated upstream, it would never add up, and the request would terminate one upstream after the
 * other with everything that runs there. A request that an upstream survives is cleared on all nodes. Must be used on
 * the network thread only.
 */
public final class RequestQuarantine implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(RequestQuarantine.class);

    /** Maximum number of suspicions in one message: about 25 KB, a small part of the largest frame. */
    private static final int MAX_PER_MESSAGE = 256;

    /** Origin, in log lines, of a suspicion received from another node; for a local one it is the id of the request. */
    private static final String FROM_OTHER_NODE = "told";

    private static final long SWEEP_NANOS = Duration.ofSeconds(30).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final LogRateLimiter log;
    private final SuspicionTable table = new SuspicionTable();
    private final TerminatedUpstreamDetector terminationDetector;
    private final DeferredTask sweep;
    private final TerminatedUpstreams terminatedIncarnations = new TerminatedUpstreams();
    private final Map<String, PoolTerminationHistory> historyByPool = new HashMap<>();
    private long terminatedUpstreams;

    /**
     * Creates the quarantine. The caller subscribes it to the mesh.
     *
     * @param mesh        the nodes
     * @param timers      timers of the network thread
     * @param directory   the upstream directory
     * @param listenCheck checks whether an upstream still listens
     * @param log         rate limit for log lines
     */
    public RequestQuarantine(
            NodeMesh mesh,
            TimerService timers,
            UpstreamDirectory directory,
            ListenCheck listenCheck,
            LogRateLimiter log) {
        this.mesh = mesh;
        this.log = log;
        this.timers = timers;
        this.sweep = new DeferredTask(timers, this::sweep);
        this.terminationDetector = new TerminatedUpstreamDetector(directory, timers, listenCheck, this::onTerminated);
        directory.subscribe(terminationDetector);
    }

    /**
     * Returns whether a request must not run. Costs nothing while no request is suspected.
     *
     * @param request the request
     * @return true while it is quarantined
     */
    public boolean isQuarantined(TrackedRequest request) {
        return !table.isEmpty() && table.isQuarantined(request.digest(), timers.nanoTime());
    }

    /**
     * Returns whether an upstream terminated while running a request and none has survived it since.
     *
     * @param request the request
     * @return true also while it is quarantined
     */
    public boolean isSuspected(TrackedRequest request) {
        return find(request).filter(Suspicion::isSuspected).isPresent();
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param request  the request
     * @param upstream the upstream
     * @param previous the previous run in the same attempt of the caller
     * @return the run, whose outcome is reported by {@link #onSurvived} or {@link #onConnectionFailure}
     */
    public UpstreamRun startRun(TrackedRequest request, UpstreamRecord upstream, Optional<UpstreamRun> previous) {
        Optional<Suspicion> known = find(request);
        return new UpstreamRun(
                request,
                upstream,
                known.map(Suspicion::epoch).orElse(0L),
                known.map(Suspicion::level).orElse(0),
                previous,
                terminatedIncarnations.contains(UpstreamIncarnation.of(upstream)));
    }

    /**
     * Records that an upstream completed a request and is still alive, whatever its response was.
     *
     * @param run the run
     */
    public void onSurvived(UpstreamRun run) {
        long now = timers.nanoTime();
        historyOf(run.request().pool()).recordSurvivedRun(now);
        terminatedIncarnations.markAlive(run.incarnation());
        find(run.request()).filter(Suspicion::isSuspected).ifPresent(known -> clear(known, "outlived"));
    }

    /**
     * Records that a run lost its connection, and checks whether its upstream terminated.
     *
     * @param run       the run
     * @param wasAlive  false if the request was sent on a kept-alive connection and no byte came back: the upstream
     *                  may have terminated before
     * @param mayResend called when the quarantine permits the request to be resent: immediately, but for a suspected
     *                  request only once it is known whether it terminated this upstream as well
     */
    public void onConnectionFailure(UpstreamRun run, boolean wasAlive, Runnable mayResend) {
        if (!wasAlive) {
            run.markPossiblyTooLate();
        }
        if (run.sentAfterTermination()) {
            mayResend.run();
            return;
        }
        if (isSuspected(run.request())) {
            terminationDetector.checkUpstream(run, mayResend);
        } else {
            terminationDetector.checkUpstream(run, () -> {});
            mayResend.run();
        }
    }

    /**
     * Lists the quarantined requests.
     *
     * @return the requests, in no particular order
     */
    public List<QuarantinedRequest> quarantined() {
        return table.quarantined(timers.nanoTime()).stream()
                .map(QuarantinedRequest::of)
                .toList();
    }

    /**
     * Lifts the quarantine of a request on all nodes.
     *
     * @param digest identifies the request
     * @return false if it is not suspected
     */
    public boolean lift(RequestDigest digest) {
        Optional<Suspicion> known = table.find(digest, timers.nanoTime()).filter(Suspicion::isSuspected);
        known.ifPresent(suspicion -> clear(suspicion, "lifted"));
        return known.isPresent();
    }

    /**
     * Returns the number of tracked requests.
     *
     * @return number of requests that are suspected, quarantined or were cleared recently
     */
    public int trackedRequests() {
        return table.size();
    }

    /**
     * Returns the number of upstreams that terminated under runs of this node.
     *
     * @return a count since the start of the process
     */
    public long terminatedUpstreams() {
        return terminatedUpstreams;
    }

    @Override
    public void onNodeUp(MeshNode node) {
        sendTo(table.all(timers.nanoTime()), List.of(node));
    }

    @Override
    public void onConnectionLost(MeshNode node) {
        sendTo(table.all(timers.nanoTime()), List.of(node));
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (!(message instanceof SuspicionMessage received)) {
            return;
        }
        List<Suspicion> changed = received.suspicions().stream()
                .filter(each -> accept(each, FROM_OTHER_NODE))
                .map(each -> table.find(each.digest(), timers.nanoTime()).orElse(each))
                .toList();
        // If some nodes cannot reach each other, a node that reaches both forwards the suspicion.
        sendTo(
                changed,
                mesh.nodes().stream()
                        .filter(other -> other != node && !node.neighbours().contains(other.address()))
                        .toList());
    }

    /** Removes expired suspicions; an empty table makes the check of each request free again. */
    private void sweep() {
        table.removeExpired(timers.nanoTime());
        if (!table.isEmpty()) {
            sweep.schedule(SWEEP_NANOS);
        }
    }

    private Optional<Suspicion> find(TrackedRequest request) {
        return table.isEmpty() ? Optional.empty() : table.find(request.digest(), timers.nanoTime());
    }

    private PoolTerminationHistory historyOf(String pool) {
        return historyByPool.computeIfAbsent(pool, p -> new PoolTerminationHistory());
    }

    private void onTerminated(UpstreamRecord upstream, List<UpstreamRun> runs) {
        long now = timers.nanoTime();
        terminatedUpstreams++;
        String incarnation = UpstreamIncarnation.of(upstream).text();
        PoolTerminationHistory pool = historyOf(upstream.pool());
        Set<RequestDigest> requests =
                runs.stream().map(run -> run.request().digest()).collect(Collectors.toSet());
        pool.recordTermination(incarnation, requests, now);
        terminatedIncarnations.add(List.of(incarnation));
        List<Suspicion> changed = new ArrayList<>();
        for (UpstreamRun run : runs) {
            TrackedRequest request = run.request();
            int step = pool.terminatesMoreWithout(request.digest(), now)
                    ? QuarantinePolicy.STEP_AMONG_OTHER_TERMINATIONS
                    : QuarantinePolicy.STEP;
            int level = run.levelAfter(step);
            run.terminated(level);
            Suspicion suspicion = new Suspicion(
                    request.digest(), run.epoch(), level, List.of(incarnation), request.route(), request.account(), 0);
            if (accept(suspicion, request.id())) {
                changed.add(suspicion);
            }
        }
        sendTo(changed, mesh.nodes());
    }

    private void clear(Suspicion known, String reason) {
        Suspicion cleared = known.cleared();
        accept(cleared, reason);
        sendTo(List.of(cleared), mesh.nodes());
    }

    private boolean accept(Suspicion received, String from) {
        long now = timers.nanoTime();
        boolean quarantinedBefore = table.isQuarantined(received.digest(), now);
        int levelBefore =
                table.find(received.digest(), now).map(Suspicion::level).orElse(0);
        if (!table.accept(received, now)) {
            return false;
        }
        sweep.schedule(SWEEP_NANOS);
        terminatedIncarnations.add(received.upstreams());
        Suspicion known = table.find(received.digest(), now).orElse(received);
        boolean quarantined = table.isQuarantined(known.digest(), now);
        if (quarantined != quarantinedBefore) {
            logChange(quarantined ? "held-off" : "cleared", known, from);
        } else if (known.level() > levelBefore && !from.equals(FROM_OTHER_NODE) && log.allowsFailed(now)) {
            logChange("suspected", known, from);
        }
        return true;
    }

    private static void logChange(String event, Suspicion known, String from) {
        LOGGER.info(
                "event=request-{} digest={} from={} level={} epoch={} hold_ms={} route={} account={} upstreams={}",
                event,
                known.digest().text(),
                from,
                known.level(),
                known.epoch(),
                Duration.ofNanos(QuarantinePolicy.quarantineNanos(known.level()))
                        .toMillis(),
                known.route(),
                known.account(),
                known.upstreams());
    }

    private static void sendTo(List<Suspicion> suspicions, List<MeshNode> nodes) {
        for (int from = 0; from < suspicions.size(); from += MAX_PER_MESSAGE) {
            List<Suspicion> chunk = suspicions.subList(from, Math.min(suspicions.size(), from + MAX_PER_MESSAGE));
            nodes.forEach(node -> node.send(new SuspicionMessage(chunk)));
        }
    }
}
