package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.direct.ListenCheck;
import org.copperspindle.direct.ListenState;
import org.copperspindle.discovery.DirectoryListener;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.time.TimerService;

/**
 * Tells an upstream that ended from one that reset a connection, broke an answer off, or is behind a link that is cut. All
 * of them look alike to a run that loses its connection. An upstream has ended if nothing listens at its address any more,
 * or if another life announces itself there soon after. One that drains or has left ends as planned, and nobody is to blame.
 */
final class UpstreamEnds implements DirectoryListener {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamEnds.class);

    /** An upstream that was started again by then has announced itself; what comes later has other causes. */
    private static final long NEXT_LIFE_NANOS = Duration.ofSeconds(10).toNanos();

    /** Upstreams that may be in doubt at once; of more, the ends are not noted. */
    private static final int MAX_DOUBTS = 512;

    private final UpstreamDirectory directory;
    private final TimerService timers;
    private final ListenCheck listens;
    private final Listener listener;
    private final Map<UpstreamLife, Doubt> doubts = new LinkedHashMap<>();

    UpstreamEnds(UpstreamDirectory directory, TimerService timers, ListenCheck listens, Listener listener) {
        this.directory = directory;
        this.timers = timers;
        this.listens = listens;
        this.listener = listener;
    }

    /**
     * Takes note that a run lost its connection.
     *
     * @param run     the run
     * @param checked called once it is known whether something listens at the upstream's address
     */
    void lost(UpstreamRun run, Runnable checked) {
        UpstreamRecord upstream = run.upstream();
        UpstreamLife life = run.life();
        boolean planned = directory
                .find(upstream.id())
                .filter(news -> UpstreamLife.of(news).equals(life) && news.phase() == UpstreamPhase.READY)
                .isEmpty();
        if (planned || !doubts.containsKey(life) && doubts.size() >= MAX_DOUBTS) {
            checked.run();
            return;
        }
        Doubt doubt = doubts.computeIfAbsent(life, l -> new Doubt(upstream));
        doubt.runs.add(run);
        boolean isReplaced = directory
                .findByAddress(upstream.address())
                .filter(holder -> !UpstreamLife.of(holder).equals(life))
                .isPresent();
        if (isReplaced) {
            end(life, "next-life");
            checked.run();
            return;
        }
        doubt.waiting.add(checked);
        if (!doubt.checking) {
            doubt.checking = true;
            listens.check(upstream.address(), state -> checked(life, doubt, state));
        }
    }

    @Override
    public void onChange(UpstreamRecord news) {
        UpstreamLife life = UpstreamLife.of(news);
        if (news.phase() != UpstreamPhase.READY) {
            doubts.remove(life);
            return;
        }
        Optional<UpstreamLife> before = doubts.keySet().stream()
                .filter(l -> !l.equals(life) && (doubts.get(l).isAt(news.address()) || l.id().equals(news.id())))
                .findFirst();
        before.ifPresent(ended -> end(ended, "next-life"));
    }

    private void checked(UpstreamLife life, Doubt doubt, ListenState state) {
        doubt.checking = false;
        List<Runnable> waiting = List.copyOf(doubt.waiting);
        doubt.waiting.clear();
        if (doubts.get(life) == doubt) {
            if (state == ListenState.REFUSES) {
                end(life, "refuses-connections");
            } else {
                timers.schedule(NEXT_LIFE_NANOS, () -> doubts.remove(life, doubt));
            }
        }
        waiting.forEach(Runnable::run);
    }

    private void end(UpstreamLife life, String evidence) {
        Doubt doubt = doubts.remove(life);
        LOGGER.warn(
                "event=upstream-ended upstream={} incarnation={} pool={} address={} evidence={} runs={}",
                life.id(),
                life.incarnation(),
                doubt.upstream.pool(),
                doubt.upstream.address(),
                evidence,
                doubt.runs.size());
        listener.ended(doubt.upstream, List.copyOf(doubt.runs));
    }

    /** Told of upstreams that ended. */
    @FunctionalInterface
    interface Listener {
        /**
         * An upstream ended.
         *
         * @param upstream the upstream
         * @param runs     runs of this node that it ended under
         */
        void ended(UpstreamRecord upstream, List<UpstreamRun> runs);
    }

    /** Runs that lost their connections to one life of an upstream. */
    private static final class Doubt {
        private final UpstreamRecord upstream;
        private final List<UpstreamRun> runs = new ArrayList<>();
        private final List<Runnable> waiting = new ArrayList<>();
        private boolean checking;

        private Doubt(UpstreamRecord upstream) {
            this.upstream = upstream;
        }

        private boolean isAt(String address) {
            return upstream.address().equals(address);
        }
    }
}
