package org.copperspindle.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.copperspindle.loopback.LoopbackHost;

/**
 * One soak: starts a deployment, disturbs it by a plan, lets it recover, and judges what was seen. The door of this module.
 */
public final class Soak {

    /** In a shortage, the part of the time after which general disturbances join those of dispatchers and engines. */
    private static final double CALM_PART = 0.6;

    private static final Duration START_BOUND = Duration.ofSeconds(60);
    private static final Duration CHANGE_BOUND = Duration.ofSeconds(20);
    private static final long READ_MILLIS = 700;
    private static final long LINGER_MILLIS = 2500;

    /** After the last disturbance has ended, all nodes serve again within this; a quarter is what must be served then. */
    private static final Duration RECOVERY = Duration.ofSeconds(12);

    private static final Duration MEASURED = Duration.ofSeconds(3);
    private static final double LEAST_RECOVERED = 0.25;
    private static final int WORKERS = 16;
    private static final int SURGE_CALLERS = 40;
    private static final int RETURNING_CALLERS = 44;
    private static final int LEAVING_CALLERS = 24;

    /** Of so many callers that come back, one has short streams, so that new ones begin all the time. */
    private static final int SHORT_STREAMS = 5;

    private final SoakSettings settings;
    private final Consumer<String> progress;
    private final PromiseBook book = new PromiseBook();
    private final List<NodePorts> ports = new ArrayList<>();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<SoakCaller> callers = new ArrayList<>();
    private final List<ReturningCaller> returning = new ArrayList<>();
    private final List<FloodCaller> flood = new ArrayList<>();
    private final List<SurgeCaller> surge = new ArrayList<>();
    private final List<LeavingCaller> leaving = new ArrayList<>();
    private final StageDispatchers dispatchers = new StageDispatchers(nodes);
    private final List<long[]> linkTrouble = new ArrayList<>();
    private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(WORKERS);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final SoakOperator operator;
    private final SoakUpstreams upstreams;

    private Soak(SoakSettings settings, Consumer<String> progress) throws IOException {
        this.settings = settings;
        this.progress = progress;
        LoopbackHost loopback = LoopbackHost.open();
        for (int number = 0; number < settings.nodes(); number++) {
            ports.add(NodePorts.free(loopback, number));
        }
        this.operator = new SoakOperator(ports, book, settings);
        this.upstreams = new SoakUpstreams(settings, book, ports, workers, group);
    }

    /**
     * Runs a soak to its end.
     *
     * @param settings what to run
     * @param progress told what happens, a line each
     * @return how it ended
     * @throws IOException          if a process can't be started or a file not be written
     * @throws InterruptedException if the wait is interrupted
     */
    public static SoakReport run(SoakSettings settings, Consumer<String> progress)
            throws IOException, InterruptedException {
        Files.createDirectories(settings.folder());
        Soak soak = new Soak(settings, progress);
        try {
            return soak.play();
        } finally {
            soak.close();
        }
    }

    private SoakReport play() throws IOException, InterruptedException {
        start();
        List<Disturbance> plan = plan();
        long startedAt = System.currentTimeMillis();
        for (Disturbance each : plan) {
            workers.schedule(() -> disturb(each), each.atMillis(), TimeUnit.MILLISECONDS);
        }
        Thread kills = fleetKills();
        List<Evacuation> evacuations = Evacuation.plan(settings);
        workers.execute(() -> evacuate(evacuations, startedAt));
        List<AddressReuse> reuses = AddressReuse.plan(settings);
        reuses.forEach(each -> workers.schedule(() -> reuse(each), each.atMillis(), TimeUnit.MILLISECONDS));
        long lastEnd = Stream.concat(
                        plan.stream().map(d -> d.atMillis() + d.forMillis()),
                        Stream.concat(
                                evacuations.stream().map(Evacuation::endMillis),
                                reuses.stream().map(AddressReuse::endMillis)))
                .max(Long::compare)
                .orElse(0L);
        Thread.sleep(Math.max(settings.duration().toMillis(), lastEnd) + startedAt - System.currentTimeMillis());
        kills.join();
        flood.forEach(FloodCaller::end);
        surge.forEach(SurgeCaller::end);
        leaving.forEach(LeavingCaller::end);
        double recovered = recover();
        callers.forEach(SoakCaller::end);
        returning.forEach(ReturningCaller::end);
        long end = System.currentTimeMillis();
        Thread.sleep(LINGER_MILLIS);
        if (settings.shortage()) {
            judgeShortage(end);
        }
        nodes.stream()
                .filter(NodeProcess::endedByItself)
                .forEach(node -> book.breaks("exit: " + node.name() + " ended by itself"));
        progress.accept("slow readers " + book.slowReaders());
        progress.accept("compared " + book.sent().summary());
        if (settings.surges()) {
            progress.accept("surges " + book.surges().summary());
        }
        if (settings.fleetKills()) {
            progress.accept("returns " + book.returns().summary());
        }
        synchronized (linkTrouble) {
            if (settings.releases()) {
                progress.accept("streams " + book.held().summary(linkTrouble));
            }
            return new SoakReport(
                    settings.seed(),
                    book.asked(),
                    book.served(),
                    book.fatalRequest().count(),
                    book.fatalPart().count(),
                    recovered,
                    book.judge(linkTrouble));
        }
    }

    private List<Disturbance> plan() {
        List<Disturbance> plan = SoakPlan.of(settings, SoakPools.of(settings).size());
        if (settings.fleetKills()) {
            plan.clear();
        }
        if (!settings.shortage()) {
            return plan;
        }
        plan.removeIf(d -> d.atMillis() < CALM_PART * settings.duration().toMillis());
        plan.addAll(ShortagePlan.of(settings, SoakPools.STAGE_POOLS.size(), SoakPools.engines(settings)));
        return plan;
    }

    private void judgeShortage(long end) {
        RecoveryWatch.Verdict verdict = book.recovery().judge(settings.nodes(), settings.durableNodes(), end);
        verdict.broken().forEach(book::breaks);
        book.shares().unfair().forEach(book::breaks);
        progress.accept(
                "shortage refused=" + book.refused() + " resumed=" + book.work().resumed() + " recoveries_judged="
                        + verdict.judged() + ' ' + book.shares().summary());
    }

    private void start() throws IOException {
        for (int number = 0; number < settings.nodes(); number++) {
            nodes.add(new NodeProcess(number, settings, ports, number < settings.durableNodes()));
        }
        for (NodeProcess node : nodes) {
            node.start();
        }
        upstreams.start();
        if (!operator.change(false, START_BOUND)) {
            throw new IOException("no node accepted the first version within " + START_BOUND);
        }
        progress.accept("started nodes=" + nodes.size() + " folder=" + settings.folder());
        AtomicLong numbers = new AtomicLong();
        for (int i = 0; i < settings.callers(); i++) {
            SoakCaller caller = new SoakCaller(numbers, ports, book, settings.seed() + i);
            if (settings.shortage()) {
                caller.inShortage();
            }
            if (settings.releases()) {
                caller.takingUp(upstreams::readyEngines);
            }
            callers.add(caller);
            start(caller, "caller-" + i);
        }
        if (settings.fatal()) {
            start(new FatalCaller(numbers, ports, book, settings, false), "fatal-caller");
        }
        if (settings.fatalPart()) {
            start(new FatalCaller(numbers, ports, book, settings, true), "fatal-part-caller");
        }
        if (settings.fleetKills()) {
            startReturning(numbers);
        }
        if (settings.surges()) {
            startSurge(numbers);
        }
        if (settings.reuses()) {
            startLeaving(numbers);
        }
        if (settings.shortage()) {
            flood.addAll(FloodCaller.callers(numbers, ports, book, settings.seed()));
            flood.forEach(caller -> start(caller, "flood-caller"));
        }
        workers.scheduleAtFixedRate(operator::check, READ_MILLIS, READ_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Starts callers enough to keep one node busy. */
    private void startSurge(AtomicLong numbers) {
        LeaningBalancer balancer = new LeaningBalancer(System.currentTimeMillis(), settings);
        book.surges().judging(balancer.leans());
        for (int i = 0; i < SURGE_CALLERS; i++) {
            SurgeCaller caller = new SurgeCaller(numbers, ports, book, balancer, ~(settings.seed() + i));
            surge.add(caller);
            start(caller, "surge-caller-" + i);
        }
    }

    private void startLeaving(AtomicLong numbers) {
        for (int i = 0; i < LEAVING_CALLERS; i++) {
            long seed = ~(settings.seed() + i);
            LeavingCaller caller = new LeavingCaller(numbers, book, new SoakCaller(numbers, ports, book, seed), seed);
            leaving.add(caller);
            start(caller, "leaving-caller-" + i);
        }
    }

    private void startReturning(AtomicLong numbers) {
        for (int i = 0; i < RETURNING_CALLERS; i++) {
            boolean isPaced = i % SHORT_STREAMS != 0;
            ReturningCaller caller =
                    new ReturningCaller(numbers, ports, book, upstreams::readyEngines, isPaced, ~(settings.seed() + i));
            returning.add(caller);
            start(caller, "returning-caller-" + i);
        }
    }

    /** Releases engines and kills nodes, in a thread of its own. */
    private Thread fleetKills() {
        Runnable releases = new ReleasesWithKills(settings, nodes, upstreams, progress, this::trouble, book);
        Thread thread = new Thread(settings.fleetKills() ? releases : () -> {}, "releases");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void start(Runnable caller, String name) {
        Thread thread = new Thread(caller, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Empties failure domains one after the other: two orders on one domain at once would undo each other. */
    private void evacuate(List<Evacuation> plan, long startedAt) {
        for (Evacuation each : plan) {
            Pause.millis(Math.max(0, startedAt + each.atMillis() - System.currentTimeMillis()));
            evacuate(each);
        }
    }

    private void evacuate(Evacuation what) {
        progress.accept("at_ms=" + what.atMillis() + " kind=EVACUATE target=" + what.failureDomain() + " for_ms="
                + what.forMillis());
        boolean acknowledged = operator.evacuate(what.failureDomain(), true, CHANGE_BOUND);
        long from = System.currentTimeMillis();
        Pause.millis(what.forMillis());
        if (acknowledged) {
            book.evacuated(what.failureDomain(), from, System.currentTimeMillis());
        }
        if (!operator.evacuate(what.failureDomain(), false, START_BOUND)) {
            book.breaks("evacuation: the end of " + what.failureDomain() + " was not acknowledged");
        }
    }

    private void disturb(Disturbance what) {
        progress.accept("at_ms=" + what.atMillis() + " kind=" + what.kind() + " target=" + what.target() + " for_ms="
                + what.forMillis());
        long begin = System.currentTimeMillis();
        book.surges().disturbed(begin, begin + what.forMillis());
        try {
            if (what.kind().isOfLinks()) {
                disturbLinks(nodes.get(what.target()), what);
            } else if (what.kind().isOfDispatchers()) {
                disturbDispatcher(what);
            } else {
                disturbProcess(what);
            }
        } catch (IOException e) {
            book.breaks("soak: " + what.kind() + " failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reuse(AddressReuse what) {
        progress.accept("at_ms=" + what.atMillis() + " kind=ADDRESS_REUSE " + what);
        long begin = System.currentTimeMillis();
        book.surges().disturbed(begin, begin + what.endMillis() - what.atMillis());
        RecoveryWatch.Outage outage = book.recovery().disturbed(RecoveryWatch.NO_NODE, begin);
        try {
            if (!upstreams.reuse(what)) {
                progress.accept("at_ms=" + what.atMillis() + " address=taken");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            outage.ends(System.currentTimeMillis());
        }
    }

    private void disturbLinks(NodeProcess node, Disturbance what) throws InterruptedException {
        long begin = System.currentTimeMillis();
        RecoveryWatch.Outage outage = book.recovery().disturbed(RecoveryWatch.NO_NODE, begin);
        if (what.kind() == DisturbanceKind.RESET) {
            node.resetLinks();
        } else {
            node.links(LinkMode.valueOf(what.kind().name()));
            Thread.sleep(what.forMillis());
            node.links(LinkMode.PASS);
        }
        outage.ends(System.currentTimeMillis());
        trouble(begin);
    }

    private void disturbProcess(Disturbance what) throws IOException, InterruptedException {
        long begin = System.currentTimeMillis();
        RecoveryWatch.Outage outage =
                book.recovery().disturbed(isOfNode(what.kind()) ? what.target() : RecoveryWatch.NO_NODE, begin);
        switch (what.kind()) {
            case KILL, LOSE_DISK -> killAndRestart(nodes.get(what.target()), what);
            case TERM -> stopAndRestart(nodes.get(what.target()), what);
            case PAUSE -> pause(nodes.get(what.target()), what);
            case UPSTREAM_CRASH, UPSTREAM_DRAIN -> upstreams.replace(what);
            case ENGINE_SILENCE -> upstreams.silence(what);
            case REVOKE, CHANGE -> operator.change(what.kind() == DisturbanceKind.REVOKE, CHANGE_BOUND);
            default -> throw new IllegalArgumentException(what.toString());
        }
        outage.ends(System.currentTimeMillis());
        if (what.kind() == DisturbanceKind.PAUSE || what.kind() == DisturbanceKind.KILL) {
            trouble(begin);
        }
    }

    private static boolean isOfNode(DisturbanceKind kind) {
        return switch (kind) {
            case KILL, LOSE_DISK, TERM, PAUSE -> true;
            default -> false;
        };
    }

    /** Disturbs the node that dispatches a pool now; a second one at the same time meets the next node in the order. */
    private void disturbDispatcher(Disturbance what) throws IOException, InterruptedException {
        long begin = System.currentTimeMillis();
        NodeProcess node = dispatchers.take(SoakPools.STAGE_POOLS.get(what.target()));
        RecoveryWatch.Outage outage = book.recovery().disturbed(node.number(), begin);
        progress.accept("at_ms=" + what.atMillis() + " dispatcher=" + node.name());
        try {
            if (what.kind() == DisturbanceKind.DISPATCHER_KILL) {
                killAndRestart(node, what);
            } else {
                pause(node, what);
            }
        } finally {
            outage.ends(System.currentTimeMillis());
            dispatchers.release(node);
        }
        trouble(begin);
    }

    private static void pause(NodeProcess node, Disturbance what) throws IOException, InterruptedException {
        node.signal("STOP");
        Thread.sleep(what.forMillis());
        node.signal("CONT");
    }

    private void killAndRestart(NodeProcess node, Disturbance what) throws IOException, InterruptedException {
        synchronized (node) {
            node.kill();
            if (what.kind() == DisturbanceKind.LOSE_DISK) {
                node.loseDisk();
            }
            Thread.sleep(what.forMillis());
            node.start();
        }
    }

    private void stopAndRestart(NodeProcess node, Disturbance what) throws IOException, InterruptedException {
        if (!node.stop()) {
            book.breaks("stop: " + node.name() + " did not end after SIGTERM");
        }
        synchronized (node) {
            Thread.sleep(what.forMillis());
            if (!node.isAlive()) {
                node.start();
            }
        }
    }

    private void trouble(long begin) {
        trouble(begin, System.currentTimeMillis());
    }

    private void trouble(long begin, long end) {
        synchronized (linkTrouble) {
            linkTrouble.add(new long[] {begin, end});
        }
    }

    /** Ends all disturbances, gives the deployment its time, and returns which part of the requests is served then. */
    private double recover() throws IOException, InterruptedException {
        for (NodeProcess node : nodes) {
            node.links(LinkMode.PASS);
            node.signal("CONT");
            synchronized (node) {
                if (!node.isAlive()) {
                    node.start();
                }
            }
        }
        Thread.sleep(RECOVERY.toMillis());
        int asked = book.asked();
        int served = book.served();
        Thread.sleep(MEASURED.toMillis());
        int more = book.asked() - asked;
        double recovered = more == 0 ? 0 : (book.served() - served) / (double) more;
        if (recovered < LEAST_RECOVERED) {
            book.breaks("recover: " + recovered + " of " + more + " requests served");
        }
        if (!operator.check() && !operator.check() && !operator.check()) {
            book.breaks("config: can't be read after the recovery");
        }
        return recovered;
    }

    private void close() throws IOException {
        workers.shutdownNow();
        callers.forEach(SoakCaller::end);
        for (NodeProcess node : nodes) {
            node.close();
        }
        upstreams.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
