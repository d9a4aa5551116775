package org.copperspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.MissReason;
import org.copperspindle.batch.PoolLoad;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.time.VirtualTimerService;

/**
 * Replays half a minute of callers against the decisions before the engines, in virtual time: the gate, the stages of each
 * request and the calls of three stage pools. Three kinds of requests share the pools, and for some seconds one kind after
 * the other comes more often ({@link ReplayedLoad}). Refused callers come back once, when they are told to. All times of the
 * deployment can be stretched together.
 */
final class StageLoadReplay implements AutoCloseable {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final long LOOK_NANOS = 75 * MILLI;
    private static final long READ_NANOS = 100 * MILLI;
    private static final int CLUMP = 3;
    private static final long ENGINE_NANOS = 120 * MILLI;

    /** What a node knows of a pool is as old as this on the average. */
    private static final long LOAD_AGE_NANOS = 80 * MILLI;

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final Map<String, BatchLimits> limits = new HashMap<>();
    private final Map<String, Long> sizes = new HashMap<>();
    private final List<Kind> kinds;
    private final ReplayedLoad asked;
    private final double stretch;
    private final double load;
    private final SplittableRandom random;
    private final RetryAfterDelays returns;
    private final LoneBatches lone;
    private final BatchService batches;
    private final FirstEventLatencies firstEvents = new FirstEventLatencies();
    private final StageAdmission gate;
    private final RouteTable table;
    private final Map<String, Score> scores = new TreeMap<>();
    private final SimulatedStages stages;
    private final Map<String, Told> told = new HashMap<>();
    private long lastId;
    private long movedBytes;
    private long readBytes;

    /**
     * Prepares a replay.
     *
     * @param asked   the deployment and its callers
     * @param stretch factor of all times of the deployment; rates are divided by it
     * @param load    factor of all rates
     * @param seed    draws arrivals and sizes
     */
    StageLoadReplay(ReplayedLoad asked, double stretch, double load, long seed) {
        this.asked = asked;
        this.stretch = stretch;
        this.load = load;
        this.random = new SplittableRandom(seed);
        this.returns = new RetryAfterDelays(random);
        asked.pools().forEach(this::pool);
        this.kinds = asked.kinds().stream().map(this::kind).toList();
        List<UpstreamPool> pools = new ArrayList<>(List.of(TestRoutes.pool("engines")));
        limits.forEach((name, each) ->
                pools.add(new UpstreamPool(name, 300, Optional.of(each), OptionalInt.empty(), Optional.empty())));
        this.table = TestRoutes.table(1, kinds.stream().map(Kind::route).toList(), pools);
        this.stages = new SimulatedStages(time, limits, sizes);
        this.lone = new LoneBatches(time, directory, stages, limits);
        this.batches = lone.service();
        this.gate = new StageAdmission(this::toldLoad, firstEvents);
    }

    /** Returns what a gate knows of a pool: a node that does not pack its calls hears of loads and promises now and then. */
    private PoolLoad toldLoad(String pool) {
        long now = time.nanoTime();
        Told known = told.get(pool);
        if (known == null || now - known.at() >= LOAD_AGE_NANOS) {
            known = new Told(batches.load(pool), now);
            told.put(pool, known);
        }
        return known.load();
    }

    /** Plays the load; returns the outcome by kind. */
    Map<String, Score> play() {
        for (Kind kind : kinds) {
            scores.put(kind.route().name(), new Score());
            arriveLater(kind);
        }
        time.advance((long) (45 * SECOND * stretch));
        return scores;
    }

    /** Returns how much of results and inputs was read from other failure domains. */
    long movedBytes() {
        return movedBytes + stages.movedBytes();
    }

    /** Returns how much of results and inputs was read, from wherever. */
    long readBytes() {
        return readBytes + stages.readBytes();
    }

    @Override
    public void close() {
        lone.close();
    }

    private void arriveLater(Kind kind) {
        double rate = kind.perSecond() * load * burst(kind) / stretch / CLUMP;
        long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND);
        time.schedule(gap, () -> {
            if (time.nanoTime() < 34 * SECOND * stretch) {
                arriveTogether(kind);
                arriveLater(kind);
            }
        });
    }

    /** Callers come in groups of about three. */
    private void arriveTogether(Kind kind) {
        int together = 1 + random.nextInt(2 * CLUMP - 1);
        for (int i = 0; i < together; i++) {
            time.schedule((long) (random.nextInt(100) * MILLI * stretch), () -> arrive(kind));
        }
    }

    private double burst(Kind kind) {
        return asked.factor(kind.route().name(), time.nanoTime() / stretch / SECOND);
    }

    private void arrive(Kind kind) {
        scores.get(kind.route().name()).asked++;
        String id = "r" + ++lastId;
        List<Integer> pieces = kind.pieces().apply(random);
        new Attempt(kind, id, pieces, time.nanoTime(), false).start();
    }

    private void pool(ReplayedLoad.Pool pool) {
        String name = pool.name();
        limits.put(
                name,
                new BatchLimits(
                        1,
                        2,
                        pool.batch(),
                        (long) (pool.call() * MILLI * stretch),
                        (long) (pool.piece() * MILLI * stretch),
                        pool.bytes(),
                        (long) (4 * SECOND * stretch),
                        (long) (1_250_000_000L / stretch)));
        for (int i = 0; i < pool.upstreams(); i++) {
            String address = "10.0." + limits.size() + "." + i + ":1";
            directory.accept(
                    new UpstreamRecord(
                            name + i, 0, name, address, "d" + i % asked.domains(), UpstreamPhase.READY, 1, 1, 0, 0),
                    0);
        }
    }

    private Kind kind(ReplayedLoad.Kind each) {
        Route route = new Route(
                each.name(),
                "h",
                "/" + each.name() + "/",
                RouteKind.STREAM,
                Duration.ofMillis((long) (each.deadline() * stretch)),
                Duration.ofMillis((long) (each.objective() * stretch)),
                each.rank(),
                List.of(new WeightedPool("engines", 1)),
                2,
                each.stages(),
                true,
                false,
                Duration.ofMillis((long) (300 * stretch)));
        return new Kind(route, each.perSecond(), each.pieces());
    }

    /** What was told of a pool's load. */
    private record Told(PoolLoad load, long at) {}

    /** A kind of requests. */
    private record Kind(Route route, double perSecond, Function<RandomGenerator, List<Integer>> pieces) {}

    /** What became of the requests of a kind. */
    static final class Score {
        int asked;
        int onTime;
        int late;
        int refused;

        double credit() {
            return (onTime + 0.15 * late) / asked;
        }

        /** Returns how many have ended, in whichever way. */
        int ended() {
            return onTime + late + refused;
        }

        @Override
        public String toString() {
            return "asked " + asked + " on time " + onTime + " late " + late + " refused " + refused;
        }
    }

    /** One attempt of a caller. */
    private final class Attempt implements StageRun.Listener {
        private final Kind kind;
        private final String id;
        private final List<Integer> pieces;
        private final long askedAt;
        private final boolean returned;
        private final String domain = "d" + random.nextInt(asked.domains());
        private final AdmittedRequest admitted;
        private boolean held;
        private long begunAt;
        private long reckoned;
        private StageRun run;

        private Attempt(Kind kind, String id, List<Integer> pieces, long askedAt, boolean returned) {
            this.kind = kind;
            this.id = id;
            this.pieces = pieces;
            this.askedAt = askedAt;
            this.returned = returned;
            long now = time.nanoTime();
            long waited = (now - askedAt) / MILLI;
            OptionalLong left = OptionalLong.of(kind.route().timeout().toMillis() - waited);
            GatewayRequest request = TestRequests.request(id, left, List.of(), pieces);
            RequestTimes times = RequestTimes.of(kind.route(), left, waited, 0, now);
            admitted = new AdmittedRequest(request, table, kind.route(), Optional.empty(), "engines", times);
            for (int stage = 0; stage < pieces.size(); stage++) {
                sizes.put(
                        SimulatedStages.size(id, stage),
                        kind.route().stages().get(stage).resultBytes());
            }
        }

        private void start() {
            passGate();
        }

        @Override
        public void onStagesDone() {
            gate.ran(kind.route(), reckoned, time.nanoTime() - begunAt, time.nanoTime());
            readBytes += run.inputs().total();
            movedBytes += run.inputs().total() - run.inputs().bytesIn(domain, directory);
            time.schedule(READ_NANOS, run::end);
            time.schedule((long) (ENGINE_NANOS * stretch), this::served);
        }

        @Override
        public void onMissed(int stage, MissReason reason) {
            run.end();
            end(false);
        }

        private void passGate() {
            long now = time.nanoTime();
            StageAdmissionDecision judgement = gate.judge(admitted, held, now);
            if (judgement.verdict() == StageAdmissionVerdict.HOLD) {
                hold(true);
                time.schedule(LOOK_NANOS, this::passGate);
                return;
            }
            hold(false);
            if (judgement.verdict() == StageAdmissionVerdict.BEGIN) {
                begunAt = now;
                reckoned = judgement.reckonedNanos();
                run = new StageRun(admitted, Optional.of(domain), firstEvents.nanos(kind.route()), batches, time, this);
                run.start();
            } else {
                end(!returned);
            }
        }

        private void hold(boolean holds) {
            if (held != holds) {
                held = holds;
                gate.held(holds ? 1 : -1);
            }
        }

        private void served() {
            firstEvents.seen(kind.route(), (long) (ENGINE_NANOS * stretch));
            boolean onTime =
                    time.nanoTime() - askedAt <= kind.route().objective().toNanos();
            Score score = scores.get(kind.route().name());
            score.onTime += onTime ? 1 : 0;
            score.late += onTime ? 0 : 1;
        }

        private void end(boolean comesBack) {
            if (!comesBack) {
                scores.get(kind.route().name()).refused++;
                return;
            }
            long left = admitted.times().endAt() - time.nanoTime();
            time.schedule(
                    returns.afterBurst(left).toNanos(),
                    () -> new Attempt(kind, id + 'b', pieces, askedAt, true).start());
        }
    }
}
