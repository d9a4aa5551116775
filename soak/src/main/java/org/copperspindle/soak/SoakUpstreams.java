package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.MultiThreadIoEventLoopGroup;

/**
 * The stand-ins for upstreams of one soak, by place: whatever replaces one takes its place.
 */
final class SoakUpstreams implements ReleasesWithKills.Engines {

    private static final long ANNOUNCE_MILLIS = 400;
    private static final long LINGER_MILLIS = 2500;

    /** An upstream that ended by a request is back after this. */
    private static final long RESTART_MILLIS = 1000;

    private final SoakSettings settings;
    private final PromiseBook book;
    private final List<NodePorts> ports;
    private final ScheduledExecutorService workers;
    private final MultiThreadIoEventLoopGroup group;
    private final Set<String> results = SoakUpstream.noResults();
    private final List<SoakUpstream> upstreams = new ArrayList<>();

    /** Run at addresses that others have used, beside those that have a place. */
    private final List<SoakUpstream> successors = new ArrayList<>();

    private final List<Integer> engines;
    private final Random needSeeds;
    private final Random speeds;
    private final EngineVersions versions;
    private final long needsUntil;

    SoakUpstreams(
            SoakSettings settings,
            PromiseBook book,
            List<NodePorts> ports,
            ScheduledExecutorService workers,
            MultiThreadIoEventLoopGroup group) {
        this.settings = settings;
        this.book = book;
        this.ports = ports;
        this.workers = workers;
        this.group = group;
        this.engines = SoakPools.engines(settings);
        this.needSeeds = new Random(settings.seed());
        // A generator of its own: the other draws of a seed stay what they are.
        this.speeds = new Random(~settings.seed());
        this.versions = new EngineVersions(
                System.currentTimeMillis(), settings.duration().toMillis(), new Random(settings.seed()));
        if (settings.fleetKills()) {
            versions.only(ReleasesWithKills.FIRST_VERSION);
        }
        this.needsUntil = System.currentTimeMillis() + settings.duration().toMillis();
    }

    /** Starts one upstream for each place, and lets all of them announce themselves from then on. */
    void start() {
        SoakPools.of(settings).forEach(pool -> upstreams.add(upstream(anywhere(pool))));
        workers.scheduleAtFixedRate(this::announce, 0, ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns how many engines of a version take requests. */
    synchronized int readyEngines(String software) {
        return (int) upstreams.stream()
                .filter(upstream -> upstream.isReady() && upstream.software().equals(software))
                .count();
    }

    /** An engine sends nothing for some time, which this waits for. */
    void silence(Disturbance what) throws InterruptedException {
        SoakUpstream engine;
        synchronized (this) {
            engine = upstreams.get(what.target());
        }
        engine.silence(what.forMillis());
        Thread.sleep(what.forMillis());
    }

    /** Ends an upstream after another one has started in its place. */
    void replace(Disturbance what) throws InterruptedException {
        SoakUpstream leaving = replace(what.target());
        if (what.kind() == DisturbanceKind.UPSTREAM_DRAIN) {
            leaving.drain();
            Thread.sleep(SoakOperator.DRAIN_MILLIS + LINGER_MILLIS);
        }
        if (what.kind() == DisturbanceKind.UPSTREAM_CRASH) {
            leaving.crash();
        } else {
            leaving.close();
        }
    }

    /**
     * Ends a stage upstream, and later uses its address for another one; returns when that one has ended as well, with
     * false if another process had taken the address.
     */
    boolean reuse(AddressReuse what) throws InterruptedException {
        slowLaterStage(what.slowForMillis());
        Thread.sleep(what.leadMillis());
        SoakUpstream leaving = replace(what.place());
        leaving.crash();
        Thread.sleep(what.gapMillis());
        SoakPlace place = leaving.at(what.successor());
        if (!place.isFree()) {
            return false;
        }
        SoakUpstream successor = upstream(place);
        synchronized (this) {
            successors.add(successor);
        }
        Thread.sleep(what.livesMillis());
        synchronized (this) {
            successors.remove(successor);
        }
        successor.crash();
        return true;
    }

    private synchronized void slowLaterStage(long millis) {
        upstreams.stream()
                .filter(upstream -> upstream.pool().equals(SoakUpstream.LATER_STAGE))
                .forEach(upstream -> upstream.slowDown(millis));
    }

    @Override
    public int count() {
        return engines.size();
    }

    @Override
    public void replace(int engine, FleetKill release) {
        synchronized (versions) {
            versions.only(release.version());
        }
        SoakUpstream leaving = replace(engines.get(engine));
        if (release.drains()) {
            workers.execute(leaving::drain);
        }
        workers.schedule(leaving::crash, release.graceMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes those that are there now. */
    synchronized void close() {
        upstreams.forEach(SoakUpstream::close);
        successors.forEach(SoakUpstream::close);
    }

    private synchronized SoakUpstream replace(int place) {
        SoakUpstream former = upstreams.get(place);
        upstreams.set(place, upstream(anywhere(former.pool())));
        return former;
    }

    private static SoakPlace anywhere(String pool) {
        return new SoakPlace(pool, 0);
    }

    private SoakUpstream upstream(SoakPlace place) {
        String pool = place.pool();
        SoakUpstream upstream = new SoakUpstream(
                place, book, ports, results, this::endedUnderFatal, new Random(settings.seed()), group);
        synchronized (speeds) {
            upstream.working(UpstreamSpeed.of(speeds));
        }
        if (settings.shortage()) {
            upstream.inShortage();
        }
        if (settings.hasLaterPool()) {
            upstream.withLaterPool();
        }
        if (settings.releases() && pool.equals(SoakUpstream.ENGINE)) {
            synchronized (versions) {
                upstream.running(versions.next(System.currentTimeMillis()));
            }
        }
        boolean cold = settings.evacuates() && pool.equals(SoakUpstream.ENGINE);
        if (cold) {
            upstream.starting(ColdStart.at(System.currentTimeMillis()));
        }
        if (settings.needs()) {
            long now = System.currentTimeMillis();
            upstream.needing(UpstreamNeed.between(now, needsUntil, settings.nodes(), new Random(needSeeds.nextLong())));
        }
        return upstream;
    }

    /** Ends an upstream by a request that it runs; another one starts in its place. */
    private void endedUnderFatal(SoakUpstream upstream) {
        workers.execute(() -> {
            upstream.crash();
            workers.schedule(() -> restart(upstream), RESTART_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    private synchronized void restart(SoakUpstream ended) {
        int place = upstreams.indexOf(ended);
        if (place >= 0) {
            upstreams.set(place, upstream(anywhere(ended.pool())));
        }
    }

    private void announce() {
        List<SoakUpstream> now;
        synchronized (this) {
            now = Stream.concat(upstreams.stream(), successors.stream()).toList();
        }
        now.forEach(upstream -> workers.execute(upstream::announce));
    }
}
