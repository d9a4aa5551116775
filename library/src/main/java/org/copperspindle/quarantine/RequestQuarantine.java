package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.copperspindle.direct.ListenCheck;
import org.copperspindle.direct.ListenState;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Quarantines requests, and parts of prompts, that terminate the upstreams that run them. Such requests may come at any
 * node, so each node immediately tells the others under which requests and parts an upstream terminated. If the count
 * were kept at one node, or with the terminated upstream, it would never add up, and one upstream after the other would
 * terminate with everything that runs there. A request or part that an upstream survives is cleared on all nodes. Must be
 * used on the network thread only.
 */
public final class RequestQuarantine implements MeshListener {

    private static final Duration MIN_REFUSAL = Duration.ofSeconds(1);

    private final TimerService timers;
    private final UpstreamDirectory directory;
    private final ListenCheck listenCheck;
    private final SuspicionExchange exchange;
    private final SuspicionTable table;
    private final TerminatedUpstreams terminatedIncarnations;
    private final TerminatedUpstreamDetector terminationDetector;
    private final TerminationAssessor assessor;
    private final TrialSlots trials;
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
        this.timers = timers;
        this.directory = directory;
        this.listenCheck = listenCheck;
        this.exchange = new SuspicionExchange(mesh, timers, log);
        this.table = exchange.table();
        this.terminatedIncarnations = exchange.terminatedIncarnations();
        this.assessor = new TerminationAssessor(exchange);
        this.trials = new TrialSlots(mesh.self(), () -> mesh.serving().stream());
        this.terminationDetector = new TerminatedUpstreamDetector(directory, timers, listenCheck, this::onTerminated);
        directory.subscribe(terminationDetector);
    }

    /**
     * Adds a listener.
     *
     * @param listener called when a request or a prompt part becomes quarantined
     */
    public void subscribe(Runnable listener) {
        exchange.subscribe(quarantined -> listener.run());
    }

    /**
     * Returns whether a request must not run at any upstream of its pool. Costs nothing while nothing is quarantined.
     *
     * @param request the request
     * @return true while it is quarantined, or a part of its prompt is
     */
    public boolean isQuarantined(TrackedRequest request) {
        if (!table.hasRestricted()) {
            return false;
        }
        return isRequestHeld(request) || hasHeldPart(request);
    }

    /**
     * Returns whether a request may run at an upstream as far as the parts of its prompt are concerned. A part may be
     * quarantined for one software version of a pool only.
     *
     * @param request  the request
     * @param upstream the upstream
     * @return false if it must not be sent there now
     */
    public boolean permits(TrackedRequest request, UpstreamRecord upstream) {
        return !table.hasRestricted() || permits(request, upstream.software().text());
    }

    /**
     * Returns whether a request that was sent to an upstream must be taken back. A trial need not: it shows whether the
     * quarantine is still needed.
     *
     * @param request  the request
     * @param upstream the upstream that has received it
     * @return true if the request, or a part of its prompt at the software of the upstream, is quarantined
     */
    public boolean mustTakeBack(TrackedRequest request, UpstreamRecord upstream) {
        if (!table.hasRestricted()) {
            return false;
        }
        String software = upstream.software().text();
        return isRequestHeld(request)
                || request.partSuspects().stream()
                        .anyMatch(
                                part -> table.partState(part.digest(), software, timers.nanoTime()) == HoldState.HELD);
    }

    /**
     * Returns for how long a request is refused because of the parts of its prompt.
     *
     * @param request the request
     * @return the remaining quarantine time; empty if the whole request is quarantined, which its caller can't change by
     *     waiting, or if nothing is
     */
    public Optional<Duration> partQuarantine(TrackedRequest request) {
        if (!table.hasRestricted() || isRequestHeld(request) || !hasHeldPart(request)) {
            return Optional.empty();
        }
        return request.partSuspects().stream()
                .flatMap(part -> exchange.find(part.digest()).stream())
                .map(QuarantinePolicy::remainingQuarantine)
                // Once it is over, one request is sent in each slot.
                .map(remaining -> remaining.compareTo(MIN_REFUSAL) < 0 ? MIN_REFUSAL : remaining)
                .max(Duration::compareTo);
    }

    /**
     * Returns whether an upstream terminated while running a request, or one with a part of its prompt, and none has
     * survived it since.
     *
     * @param request the request
     * @return true also while it is quarantined
     */
    public boolean isSuspected(TrackedRequest request) {
        return !table.isEmpty()
                && request.suspects().stream()
                        .flatMap(suspect -> exchange.find(suspect.digest()).stream())
                        .anyMatch(Suspicion::isSuspected);
    }

    /**
     * Returns whether an upstream has terminated under a run of any node. An upstream that has announced itself since is
     * alive: the evidence was wrong.
     *
     * @param upstream the upstream
     * @return true if a request can't reach it
     */
    public boolean hasTerminated(UpstreamRecord upstream) {
        OptionalLong learnedAt = terminatedIncarnations.learnedAt(UpstreamIncarnation.of(upstream));
        if (learnedAt.isEmpty()) {
            return false;
        }
        long now = timers.nanoTime();
        return directory.silenceNanos(upstream.id(), now) >= now - learnedAt.getAsLong();
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
        Map<SuspectDigest, Suspicion> known = knownSuspicions(request);
        useTrials(request, upstream, known);
        return new UpstreamRun(
                request,
                upstream,
                known,
                previous,
                terminatedIncarnations.contains(UpstreamIncarnation.of(upstream)),
                timers.nanoTime());
    }

    /**
     * Records that an upstream sent an event of its response.
     *
     * @param run the run
     */
    public void onEvent(UpstreamRun run) {
        exchange.progressingRuns().recordEvent(run, timers.nanoTime());
    }

    /**
     * Records that a run ended, for whatever reason. Is called before its outcome is reported.
     *
     * @param run the run
     */
    public void onEnded(UpstreamRun run) {
        exchange.progressingRuns().remove(run);
    }

    /**
     * Records that an upstream completed a request and is still alive.
     *
     * @param run     the run
     * @param outcome what the response proves
     */
    public void onSurvived(UpstreamRun run, RunOutcome outcome) {
        long now = timers.nanoTime();
        assessor.recordSurvivedRun(run.request().pool(), now);
        if (outcome == RunOutcome.ENDED_WITH_CONNECTION) {
            if (isSuspected(run.request())) {
                listenCheck.check(run.upstream().address(), state -> onEndChecked(run, state));
            }
            return;
        }
        terminatedIncarnations.markAlive(run.incarnation());
        if (outcome == RunOutcome.ANSWERED) {
            assessor.recordAnswer(run, now);
        }
        clearSurvived(run, outcome);
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
        run.lost(timers.nanoTime());
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
     * Records that a request could not be sent because its upstream accepts no connections. An announcement that the
     * upstream sent before it terminated may have arrived late.
     *
     * @param run the run, which did not begin
     */
    public void onUnreachable(UpstreamRun run) {
        terminatedIncarnations.markUnreachable(run.incarnation(), timers.nanoTime());
    }

    /**
     * Lists the quarantined requests and prompt parts.
     *
     * @return the entries, in no particular order
     */
    public List<QuarantinedRequest> quarantined() {
        return table.quarantined(timers.nanoTime()).stream()
                .map(QuarantinedRequest::of)
                .toList();
    }

    /**
     * Lifts the quarantine of a request or a prompt part on all nodes.
     *
     * @param digest identifies it
     * @return false if it is not suspected
     */
    public boolean lift(SuspectDigest digest) {
        Optional<Suspicion> known = exchange.find(digest).filter(Suspicion::isSuspected);
        known.ifPresent(suspicion -> exchange.clear(suspicion, "lifted"));
        return known.isPresent();
    }

    /**
     * Returns the number of tracked suspicions.
     *
     * @return number of requests and prompt parts that are suspected, quarantined or were cleared recently
     */
    public int trackedSuspicions() {
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
        exchange.onNodeUp(node);
    }

    @Override
    public void onConnectionLost(MeshNode node) {
        exchange.onConnectionLost(node);
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        exchange.onMessage(node, message);
    }

    private boolean isRequestHeld(TrackedRequest request) {
        return table.requestState(request.digest(), timers.nanoTime()) == HoldState.HELD;
    }

    /** Returns whether no upstream of the pool may get the request because of the parts of its prompt. */
    private boolean hasHeldPart(TrackedRequest request) {
        Set<String> versions = new HashSet<>();
        directory
                .ready(request.pool())
                .forEach(upstream -> versions.add(upstream.software().text()));
        if (versions.isEmpty()) {
            long now = timers.nanoTime();
            return request.partSuspects().stream().anyMatch(part -> table.isQuarantined(part.digest(), now));
        }
        return versions.stream().noneMatch(version -> permits(request, version));
    }

    private boolean permits(TrackedRequest request, String software) {
        return request.partSuspects().stream().allMatch(part -> permits(part, software));
    }

    private boolean permits(Suspect part, String software) {
        return switch (table.partState(part.digest(), software, timers.nanoTime())) {
            case FREE -> true;
            case TRIAL -> exchange.find(part.digest()).filter(trials::isOpen).isPresent();
            case HELD -> false;
        };
    }

    private Map<SuspectDigest, Suspicion> knownSuspicions(TrackedRequest request) {
        if (table.isEmpty()) {
            return Map.of();
        }
        Map<SuspectDigest, Suspicion> known = new HashMap<>();
        for (Suspect suspect : request.suspects()) {
            exchange.find(suspect.digest()).ifPresent(suspicion -> known.put(suspect.digest(), suspicion));
        }
        return known;
    }

    private void useTrials(TrackedRequest request, UpstreamRecord upstream, Map<SuspectDigest, Suspicion> known) {
        if (!table.hasRestricted()) {
            return;
        }
        String software = upstream.software().text();
        request.partSuspects().stream()
                .filter(part -> table.partState(part.digest(), software, timers.nanoTime()) == HoldState.TRIAL)
                .forEach(part -> trials.use(known.get(part.digest())));
    }

    private void onEndChecked(UpstreamRun run, ListenState state) {
        boolean isReplaced = directory
                .findByAddress(run.upstream().address())
                .filter(owner -> !UpstreamIncarnation.of(owner).equals(run.incarnation()))
                .isPresent();
        if (state == ListenState.LISTENS && !isReplaced) {
            assessor.recordAnswer(run, timers.nanoTime());
            clearSurvived(run, RunOutcome.ANSWERED);
        }
    }

    private void clearSurvived(UpstreamRun run, RunOutcome outcome) {
        if (table.isEmpty()) {
            return;
        }
        exchange.find(run.request().digest())
                .filter(Suspicion::isSuspected)
                .ifPresent(known -> exchange.clear(known, "outlived"));
        if (outcome == RunOutcome.ANSWERED) {
            run.request().partSuspects().stream()
                    .flatMap(part -> exchange.find(part.digest()).stream())
                    .filter(Suspicion::isSuspected)
                    .forEach(known -> clearPart(known, run.software()));
        }
    }

    /** Clears a part that an upstream answered, if upstreams with the same software terminated under it. */
    private void clearPart(Suspicion known, String software) {
        if (known.evidence().terminated().contains(software)) {
            exchange.clear(known, "outlived");
        } else {
            exchange.publish(List.of(known.withAnswered(software)), "outlived");
        }
    }

    private void onTerminated(UpstreamRecord upstream, List<UpstreamRun> runs) {
        terminatedUpstreams++;
        terminatedIncarnations.add(List.of(UpstreamIncarnation.of(upstream).text()), timers.nanoTime());
        assessor.onTerminated(upstream, runs, timers.nanoTime());
    }
}
