package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.direct.ListenCheck;
import org.copperspindle.direct.ListenState;
import org.copperspindle.discovery.DirectoryListener;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.time.TimerService;

/**
 * Detects terminated upstreams. A run that loses its connection cannot tell whether the upstream terminated, reset
 * the connection, aborted the response or became unreachable. An upstream has terminated if its address refuses
 * connections, or if another incarnation announces itself there soon afterwards. An upstream that is draining or has
 * left terminates as planned, and no request is suspected.
 */
final class TerminatedUpstreamDetector implements DirectoryListener {

    private static final Logger LOGGER = LogManager.getLogger(TerminatedUpstreamDetector.class);

    /**
     * How long to wait for an announcement of the next incarnation. A restarted upstream has announced itself by
     * then; anything later has other causes.
     */
    private static final long RESTART_WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * How long an upstream that crashed may still accept connections: a process that serves requests may terminate before
     * the one that listens.
     */
    private static final long EXIT_WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

    /** Maximum number of upstreams checked at the same time; terminations beyond it are not detected. */
    private static final int MAX_PENDING_CHECKS = 512;

    private final UpstreamDirectory directory;
    private final TimerService timers;
    private final ListenCheck listenCheck;
    private final Listener listener;
    private final Map<UpstreamIncarnation, PendingCheck> pendingChecks = new LinkedHashMap<>();

    TerminatedUpstreamDetector(
            UpstreamDirectory directory, TimerService timers, ListenCheck listenCheck, Listener listener) {
        this.directory = directory;
        this.timers = timers;
        this.listenCheck = listenCheck;
        this.listener = listener;
    }

    /**
     * Records that a run lost its connection, and starts a check of its upstream.
     *
     * @param run       the run
     * @param onChecked called once it is known whether the upstream's address accepts connections
     */
    void checkUpstream(UpstreamRun run, Runnable onChecked) {
        UpstreamRecord upstream = run.upstream();
        UpstreamIncarnation incarnation = run.incarnation();
        boolean isPlanned = directory
                .find(upstream.id())
                .filter(announced -> UpstreamIncarnation.of(announced).equals(incarnation)
                        && announced.phase() == UpstreamPhase.READY)
                .isEmpty();
        if (isPlanned || !pendingChecks.containsKey(incarnation) && pendingChecks.size() >= MAX_PENDING_CHECKS) {
            onChecked.run();
            return;
        }
        PendingCheck pending = pendingChecks.computeIfAbsent(incarnation, known -> new PendingCheck(upstream));
        pending.runs.add(run);
        boolean isReplaced = directory
                .findByAddress(upstream.address())
                .filter(owner -> !UpstreamIncarnation.of(owner).equals(incarnation))
                .isPresent();
        if (isReplaced) {
            reportTerminated(incarnation, "next-life");
            onChecked.run();
            return;
        }
        pending.callbacks.add(onChecked);
        if (!pending.checking) {
            pending.checking = true;
            List<UpstreamRun> lostBefore = List.copyOf(pending.runs);
            listenCheck.check(upstream.address(), state -> checked(incarnation, pending, lostBefore, state));
        }
    }

    @Override
    public void onChange(UpstreamRecord announced) {
        UpstreamIncarnation incarnation = UpstreamIncarnation.of(announced);
        if (announced.phase() != UpstreamPhase.READY) {
            pendingChecks.remove(incarnation);
            return;
        }
        boolean ownsAddress = isOwner(incarnation, announced.address());
        Optional<UpstreamIncarnation> replaced = pendingChecks.keySet().stream()
                .filter(known -> !known.equals(incarnation)
                        && (ownsAddress && pendingChecks.get(known).isAt(announced.address())
                                || known.id().equals(announced.id())))
                .findFirst();
        replaced.ifPresent(previous -> reportTerminated(previous, "next-life"));
    }

    /** Returns whether an address is that of an upstream. An announcement of its former owner may arrive late. */
    private boolean isOwner(UpstreamIncarnation incarnation, String address) {
        return directory
                .findByAddress(address)
                .filter(owner -> UpstreamIncarnation.of(owner).equals(incarnation))
                .isPresent();
    }

    private void checked(
            UpstreamIncarnation incarnation, PendingCheck pending, List<UpstreamRun> lostBefore, ListenState state) {
        pending.checking = false;
        if (state == ListenState.LISTENS) {
            timers.schedule(EXIT_WINDOW_NANOS, () -> pending.lostWhileListening.addAll(lostBefore));
        }
        List<Runnable> callbacks = List.copyOf(pending.callbacks);
        pending.callbacks.clear();
        if (pendingChecks.get(incarnation) == pending) {
            if (state == ListenState.REFUSES) {
                pending.runs.removeAll(pending.lostWhileListening);
                reportTerminated(incarnation, "refuses-connections");
            } else {
                timers.schedule(RESTART_WINDOW_NANOS, () -> pendingChecks.remove(incarnation, pending));
            }
        }
        callbacks.forEach(Runnable::run);
    }

    private void reportTerminated(UpstreamIncarnation incarnation, String evidence) {
        PendingCheck pending = pendingChecks.remove(incarnation);
        LOGGER.warn(
                "event=upstream-ended upstream={} incarnation={} pool={} address={} evidence={} runs={}",
                incarnation.id(),
                incarnation.number(),
                pending.upstream.pool(),
                pending.upstream.address(),
                evidence,
                pending.runs.size());
        listener.onTerminated(pending.upstream, List.copyOf(pending.runs));
    }

    /** Listener for terminated upstreams. */
    @FunctionalInterface
    interface Listener {
        /**
         * Called when an upstream has terminated.
         *
         * @param upstream the upstream
         * @param runs     runs of this node that were running there
         */
        void onTerminated(UpstreamRecord upstream, List<UpstreamRun> runs);
    }

    /** A pending check: the runs that lost their connections to one incarnation of an upstream. */
    private static final class PendingCheck {
        private final UpstreamRecord upstream;
        private final List<UpstreamRun> runs = new ArrayList<>();

        /** Runs that did not terminate the upstream if it refuses connections: it accepted them for long enough afterwards. */
        private final Set<UpstreamRun> lostWhileListening = new HashSet<>();

        private final List<Runnable> callbacks = new ArrayList<>();
        private boolean checking;

        private PendingCheck(UpstreamRecord upstream) {
            this.upstream = upstream;
        }

        private boolean isAt(String address) {
            return upstream.address().equals(address);
        }
    }
}
