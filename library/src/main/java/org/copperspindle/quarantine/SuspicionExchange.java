package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Keeps the suspicions of this node equal to those of all others. Must be used on the network thread only.
 */
final class SuspicionExchange implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(SuspicionExchange.class);

    /** Maximum number of suspicions in one message: about 40 KB. */
    private static final int MAX_PER_MESSAGE = 128;

    /** Origin, in log lines, of a suspicion received from another node; for a local one it is the id of the request. */
    private static final String FROM_OTHER_NODE = "told";

    private static final long SWEEP_NANOS = Duration.ofSeconds(30).toNanos();

    private final NodeMesh mesh;
    private final TimerService timers;
    private final LogRateLimiter log;
    private final SuspicionTable table = new SuspicionTable();
    private final TerminatedUpstreams terminatedIncarnations = new TerminatedUpstreams();
    private final ProgressingRuns progressingRuns = new ProgressingRuns();
    private final DeferredTask sweep;
    private final List<Consumer<Suspicion>> quarantineListeners = new ArrayList<>();

    SuspicionExchange(NodeMesh mesh, TimerService timers, LogRateLimiter log) {
        this.mesh = mesh;
        this.timers = timers;
        this.log = log;
        this.sweep = new DeferredTask(timers, this::sweep);
    }

    /** Adds a listener that is called with each suspicion whose suspect becomes quarantined. */
    void subscribe(Consumer<Suspicion> listener) {
        quarantineListeners.add(listener);
    }

    /** Returns monotonic time in nanoseconds. */
    long now() {
        return timers.nanoTime();
    }

    SuspicionTable table() {
        return table;
    }

    TerminatedUpstreams terminatedIncarnations() {
        return terminatedIncarnations;
    }

    ProgressingRuns progressingRuns() {
        return progressingRuns;
    }

    /** Finds a suspicion, with its current age. */
    Optional<Suspicion> find(SuspectDigest digest) {
        return table.isEmpty() ? Optional.empty() : table.find(digest, timers.nanoTime());
    }

    /**
     * Merges suspicions of this node and sends those that changed something to all nodes.
     *
     * @param suspicions the suspicions
     * @param origin     where they come from, for log lines
     */
    void publish(List<Suspicion> suspicions, String origin) {
        sendTo(suspicions.stream().filter(each -> accept(each, origin)).toList(), mesh.nodes());
    }

    /** Clears a suspicion at all nodes. */
    void clear(Suspicion known, String reason) {
        Suspicion cleared = known.cleared();
        accept(cleared, reason);
        sendTo(List.of(cleared), mesh.nodes());
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
        received.progress().forEach(each -> progressingRuns.add(each, timers.nanoTime()));
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

    private boolean accept(Suspicion received, String origin) {
        long now = timers.nanoTime();
        boolean quarantinedBefore = table.isQuarantined(received.digest(), now);
        int levelBefore =
                table.find(received.digest(), now).map(Suspicion::level).orElse(0);
        if (!table.accept(received, now)) {
            return false;
        }
        sweep.schedule(SWEEP_NANOS);
        terminatedIncarnations.add(received.upstreams(), now);
        Suspicion known = table.find(received.digest(), now).orElse(received);
        boolean quarantined = table.isQuarantined(known.digest(), now);
        if (quarantined != quarantinedBefore) {
            logChange(quarantined ? "held-off" : "cleared", known, origin);
        } else if (known.level() > levelBefore && !origin.equals(FROM_OTHER_NODE) && log.allowsFailed(now)) {
            logChange("suspected", known, origin);
        }
        if (known.isSuspected() && !known.isOfPromptPart()) {
            progressingRuns.longestOf(known).ifPresent(this::report);
        }
        if (quarantined && !quarantinedBefore) {
            quarantineListeners.forEach(listener -> listener.accept(known));
        }
        return true;
    }

    /** Tells all nodes, and remembers, how long a run of a suspected request has progressed: it may be lost next. */
    private void report(RunProgress progress) {
        progressingRuns.add(progress, timers.nanoTime());
        SuspicionMessage message = new SuspicionMessage(List.of(), List.of(progress));
        mesh.nodes().forEach(node -> node.send(message));
    }

    private static void logChange(String event, Suspicion known, String origin) {
        LOGGER.info(
                "event={}-{} digest={} part={} from={} level={} epoch={} hold_ms={} route={} account={} upstreams={}"
                        + " requests={} software={} answered_by={}",
                known.isOfPromptPart() ? "prompt-part" : "request",
                event,
                known.digest().text(),
                known.part(),
                origin,
                known.level(),
                known.epoch(),
                Duration.ofNanos(QuarantinePolicy.quarantineNanos(QuarantinePolicy.effectiveLevel(known)))
                        .toMillis(),
                known.route(),
                known.account(),
                known.upstreams(),
                known.evidence().requests(),
                known.evidence().terminated(),
                known.evidence().answered());
    }

    private static void sendTo(List<Suspicion> suspicions, List<MeshNode> nodes) {
        for (int from = 0; from < suspicions.size(); from += MAX_PER_MESSAGE) {
            List<Suspicion> chunk = suspicions.subList(from, Math.min(suspicions.size(), from + MAX_PER_MESSAGE));
            nodes.forEach(node -> node.send(new SuspicionMessage(chunk)));
        }
    }
}
