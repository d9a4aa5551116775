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
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Holds requests off that end the upstreams that run them. Such a request comes again at any node, so each node tells the others at
 * once under which requests an upstream ended: kept at one node, or with the upstream that is gone, the ends would never add
 * up, and upstream after upstream would end with everything that runs there. A request that an upstream outlives is cleared
 * everywhere. Network thread only.
 */
public final class RequestQuarantine implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(RequestQuarantine.class);

    /** Suspicions in one message: some 25 KB, a small part of the largest frame. */
    private static final int CHUNK = 256;

    /** Where a suspicion comes from that another node told of; else it is the id of the request that ran here. */
    private static final String TOLD = "told";

    private static final long SWEEP_NANOS = Duration.ofSeconds(30).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final DecisionLog log;
    private final SuspicionTable table = new SuspicionTable();
    private final UpstreamEnds ends;
    private final DeferredTask sweep;
    private final EndedUpstreams endedUpstreams = new EndedUpstreams();
    private final Map<String, PoolSurvival> survival = new HashMap<>();
    private long terminatedUpstreams;

    /**
     * Creates the quarantine; to be subscribed to the mesh.
     *
     * @param mesh      the nodes
     * @param timers    time on the network thread
     * @param directory the upstreams
     * @param listens   finds out whether an upstream is still there
     * @param log       bounds log lines
     */
    public RequestQuarantine(
            NodeMesh mesh, TimerService timers, UpstreamDirectory directory, ListenCheck listens, DecisionLog log) {
        this.mesh = mesh;
        this.log = log;
        this.timers = timers;
        this.sweep = new DeferredTask(timers, this::sweep);
        this.ends = new UpstreamEnds(directory, timers, listens, this::upstreamEnded);
        directory.subscribe(ends);
    }

    /**
     * Says whether a request must not be run. Costs nothing while no request is suspected.
     *
     * @param request the request
     * @return true while it is held off
     */
    public boolean isQuarantined(TrackedRequest request) {
        return !table.isEmpty() && table.isQuarantined(request.digest(), timers.nanoTime());
    }

    /**
     * Says whether an upstream ended under a request and none has outlived it since.
     *
     * @param request the request
     * @return true also while it is held off
     */
    public boolean isSuspected(TrackedRequest request) {
        return find(request).filter(Suspicion::isSuspected).isPresent();
    }

    /**
     * Notes that a request is sent to an upstream.
     *
     * @param request  the request
     * @param upstream the upstream
     * @param previous the run before this one in the same attempt of the caller
     * @return the run, of which {@link #onSurvived} or {@link #onConnectionFailure} tells the end
     */
    public UpstreamRun startRun(TrackedRequest request, UpstreamRecord upstream, Optional<UpstreamRun> previous) {
        Optional<Suspicion> known = find(request);
        return new UpstreamRun(
                request,
                upstream,
                known.map(Suspicion::epoch).orElse(0L),
                known.map(Suspicion::level).orElse(0),
                previous,
                endedUpstreams.contains(UpstreamLife.of(upstream)));
    }

    /**
     * Notes that an upstream ran a request to its end and is still there, whatever it answered.
     *
     * @param run the run
     */
    public void onSurvived(UpstreamRun run) {
        long now = timers.nanoTime();
        survival(run.request().pool()).outlived(now);
        endedUpstreams.answered(run.life());
        find(run.request()).filter(Suspicion::isSuspected).ifPresent(known -> clear(known, "outlived"));
    }

    /**
     * Notes that a run lost its connection, and finds out whether its upstream ended.
     *
     * @param run      the run
     * @param wasThere false if it went out on a connection that was kept, and nothing came back on it: the upstream may have ended
     *                 before
     * @param known    called when the request may be sent again as far as the quarantine goes: at once, but for a suspected
     *                 request only when it is known whether it ended this upstream as well
     */
    public void onConnectionFailure(UpstreamRun run, boolean wasThere, Runnable known) {
        if (!wasThere) {
            run.mayHaveComeTooLate();
        }
        if (run.sentInVain()) {
            known.run();
            return;
        }
        if (isSuspected(run.request())) {
            ends.lost(run, known);
        } else {
            ends.lost(run, () -> {});
            known.run();
        }
    }

    /**
     * Lists the requests that are held off.
     *
     * @return in no order
     */
    public List<QuarantinedRequest> quarantined() {
        return table.held(timers.nanoTime()).stream()
                .map(QuarantinedRequest::of)
                .toList();
    }

    /**
     * Lets a request run again everywhere.
     *
     * @param digest names the request
     * @return false if it is not suspected
     */
    public boolean lift(RequestDigest digest) {
        Optional<Suspicion> known = table.find(digest, timers.nanoTime()).filter(Suspicion::isSuspected);
        known.ifPresent(suspicion -> clear(suspicion, "lifted"));
        return known.isPresent();
    }

    /**
     * Counts the requests that are remembered.
     *
     * @return suspected, held off or cleared lately
     */
    public int trackedRequests() {
        return table.size();
    }

    /**
     * Counts the upstreams that ended under runs of this node.
     *
     * @return since the start
     */
    public long terminatedUpstreams() {
        return terminatedUpstreams;
    }

    @Override
    public void onNodeUp(MeshNode node) {
        tell(table.all(timers.nanoTime()), List.of(node));
    }

    @Override
    public void onConnectionLost(MeshNode node) {
        tell(table.all(timers.nanoTime()), List.of(node));
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (!(message instanceof SuspicionMessage heard)) {
            return;
        }
        List<Suspicion> news = heard.suspicions().stream()
                .filter(each -> accept(each, TOLD))
                .map(each -> table.find(each.digest(), timers.nanoTime()).orElse(each))
                .toList();
        // Where some nodes are cut off from each other, those that both reach pass it on.
        tell(
                news,
                mesh.nodes().stream()
                        .filter(other -> other != node && !node.neighbours().contains(other.address()))
                        .toList());
    }

    /** An empty table makes requests cheap again. */
    private void sweep() {
        table.forgetOld(timers.nanoTime());
        if (!table.isEmpty()) {
            sweep.schedule(SWEEP_NANOS);
        }
    }

    private Optional<Suspicion> find(TrackedRequest request) {
        return table.isEmpty() ? Optional.empty() : table.find(request.digest(), timers.nanoTime());
    }

    private PoolSurvival survival(String pool) {
        return survival.computeIfAbsent(pool, p -> new PoolSurvival());
    }

    private void upstreamEnded(UpstreamRecord upstream, List<UpstreamRun> runs) {
        long now = timers.nanoTime();
        terminatedUpstreams++;
        String life = UpstreamLife.of(upstream).text();
        PoolSurvival pool = survival(upstream.pool());
        Set<RequestDigest> ran =
                runs.stream().map(run -> run.request().digest()).collect(Collectors.toSet());
        pool.ended(life, ran, now);
        endedUpstreams.add(List.of(life));
        List<Suspicion> news = new ArrayList<>();
        for (UpstreamRun run : runs) {
            TrackedRequest request = run.request();
            int step = pool.endsWithout(request.digest(), now) ? HoldPolicy.END_AMONG_OTHERS : HoldPolicy.END;
            int level = run.levelAfter(step);
            run.ended(level);
            Suspicion suspicion = new Suspicion(
                    request.digest(), run.epoch(), level, List.of(life), request.route(), request.account(), 0);
            if (accept(suspicion, request.id())) {
                news.add(suspicion);
            }
        }
        tell(news, mesh.nodes());
    }

    private void clear(Suspicion known, String reason) {
        Suspicion cleared = known.cleared();
        accept(cleared, reason);
        tell(List.of(cleared), mesh.nodes());
    }

    private boolean accept(Suspicion heard, String from) {
        long now = timers.nanoTime();
        boolean heldBefore = table.isQuarantined(heard.digest(), now);
        int levelBefore = table.find(heard.digest(), now).map(Suspicion::level).orElse(0);
        if (!table.accept(heard, now)) {
            return false;
        }
        sweep.schedule(SWEEP_NANOS);
        endedUpstreams.add(heard.upstreams());
        Suspicion known = table.find(heard.digest(), now).orElse(heard);
        boolean held = table.isQuarantined(known.digest(), now);
        if (held != heldBefore) {
            note(held ? "held-off" : "cleared", known, from);
        } else if (known.level() > levelBefore && !from.equals(TOLD) && log.takesFailed(now)) {
            note("suspected", known, from);
        }
        return true;
    }

    private static void note(String event, Suspicion known, String from) {
        LOGGER.info(
                "event=request-{} digest={} from={} level={} epoch={} hold_ms={} route={} account={} upstreams={}",
                event,
                known.digest().text(),
                from,
                known.level(),
                known.epoch(),
                Duration.ofNanos(HoldPolicy.holdNanos(known.level())).toMillis(),
                known.route(),
                known.account(),
                known.upstreams());
    }

    private static void tell(List<Suspicion> suspicions, List<MeshNode> nodes) {
        for (int from = 0; from < suspicions.size(); from += CHUNK) {
            List<Suspicion> chunk = suspicions.subList(from, Math.min(suspicions.size(), from + CHUNK));
            nodes.forEach(node -> node.send(new SuspicionMessage(chunk)));
        }
    }
}
