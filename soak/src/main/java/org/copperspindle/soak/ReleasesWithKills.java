package org.copperspindle.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Releases engines of new and former versions, one release after the other, and kills all nodes at once beside each.
 */
final class ReleasesWithKills implements Runnable {

    /** Version of all engines before the first release. */
    static final String FIRST_VERSION = "v1";

    /** Streams have begun by then. */
    private static final long FIRST_MILLIS = 2500;

    /** Callers come back for as long to nodes that serve again before the next release begins. */
    private static final long PAUSE_MILLIS = 6000;

    /** After the start of the last node; streams are only compared with each other until then. */
    private static final long START_MILLIS = 3000;

    /** A node that was started listens within this, on a busy machine. */
    private static final long LISTENING_MILLIS = 15_000;

    private static final long LOOK_MILLIS = 50;
    private static final int MOST_RELEASES = 1000;

    private final SoakSettings settings;
    private final List<NodeProcess> nodes;
    private final Engines engines;
    private final Consumer<String> progress;
    private final BiConsumer<Long, Long> trouble;
    private final PromiseBook book;

    ReleasesWithKills(
            SoakSettings settings,
            List<NodeProcess> nodes,
            Engines engines,
            Consumer<String> progress,
            BiConsumer<Long, Long> trouble,
            PromiseBook book) {
        this.settings = settings;
        this.nodes = nodes;
        this.engines = engines;
        this.progress = progress;
        this.trouble = trouble;
        this.book = book;
    }

    @Override
    public void run() {
        long startedAt = System.currentTimeMillis();
        Pause.millis(FIRST_MILLIS);
        for (FleetKill each : FleetKill.plan(settings.seed(), nodes.size(), MOST_RELEASES, FIRST_VERSION)) {
            if (System.currentTimeMillis() - startedAt >= settings.duration().toMillis()) {
                return;
            }
            progress.accept("at_ms=" + (System.currentTimeMillis() - startedAt) + ' ' + each);
            play(each);
            Pause.millis(PAUSE_MILLIS);
        }
    }

    private void play(FleetKill release) {
        int half = engines.count() / 2;
        switch (release.moment()) {
            case BEFORE -> {
                CompletableFuture<Void> kill = CompletableFuture.runAsync(() -> kill(release));
                replace(release, 0, engines.count());
                kill.join();
            }
            case HALF -> {
                replace(release, 0, half);
                kill(release);
                Pause.millis(release.holdMillis());
                replace(release, half, engines.count());
            }
            case AFTER -> {
                replace(release, 0, engines.count());
                kill(release);
            }
            case AFTER_TWICE -> {
                replace(release, 0, engines.count());
                kill(release, false);
                Pause.millis(release.laterMillis());
                kill(release);
            }
            default -> throw new IllegalArgumentException(release.toString());
        }
    }

    /** Replaces engines, and returns when the last one of them has ended. */
    private void replace(FleetKill release, int from, int until) {
        for (int engine = from; engine < until; engine++) {
            engines.replace(engine, release);
            Pause.millis(release.gapMillis());
        }
        Pause.millis(Math.max(0, release.graceMillis() - release.gapMillis()) + release.leadMillis());
    }

    private void kill(FleetKill release) {
        kill(release, true);
    }

    private void kill(FleetKill release, boolean untilListening) {
        long begin = System.currentTimeMillis();
        book.returns().killed(begin);
        NodeProcess other = nodes.get(release.node());
        List<NodeProcess> killed = new ArrayList<>(nodes);
        try {
            CompletableFuture<Void> awake = CompletableFuture.completedFuture(null);
            switch (release.shape()) {
                case ALL_BUT_ONE -> killed.remove(other);
                case ALL_BUT_A_SUSPENDED -> {
                    killed.remove(other);
                    other.signal("STOP");
                    awake = CompletableFuture.runAsync(() -> wake(other, release.laterMillis()));
                }
                default -> progress.accept("all nodes are killed");
            }
            killed.forEach(NodeProcess::destroy);
            for (NodeProcess node : killed) {
                node.kill();
            }
            Pause.millis(release.backMillis());
            for (NodeProcess node : killed) {
                if (release.shape() == FleetKill.Shape.ALL_STAGGERED && !node.equals(killed.get(0))) {
                    Pause.millis(release.eachMillis());
                }
                node.start();
            }
            awake.join();
            if (untilListening) {
                awaitListening();
            }
            progress.accept("nodes are back after_ms=" + (System.currentTimeMillis() - begin));
        } catch (IOException e) {
            book.breaks("soak: nodes could not be killed or started: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        trouble.accept(begin, System.currentTimeMillis() + START_MILLIS);
    }

    private void awaitListening() {
        long end = System.currentTimeMillis() + LISTENING_MILLIS;
        while (!nodes.stream().allMatch(NodeProcess::isListening) && System.currentTimeMillis() < end) {
            Pause.millis(LOOK_MILLIS);
        }
    }

    private void wake(NodeProcess node, long afterMillis) {
        Pause.millis(afterMillis);
        try {
            node.signal("CONT");
        } catch (IOException e) {
            book.breaks("soak: " + node.name() + " could not be woken: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The engines of a soak. */
    interface Engines {

        /** Returns how many there are. */
        int count();

        /** Starts an engine of the version of a release in the place of another one, which ends later. */
        void replace(int engine, FleetKill release);
    }
}
