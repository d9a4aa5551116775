package org.copperspindle.benchmarks;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.copperspindle.config.PoolKind;
import org.copperspindle.config.PoolSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.config.StageSettings;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.routing.AffinityRoutingPolicy;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.PoolSubset;
import org.copperspindle.routing.RoutingPolicy;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Time and allocation of one routing decision, with and without a prefix, by the size of the pool.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(
        value = 1,
        jvmArgs = {"-XX:-UsePerfData", "-XX:+UseSerialGC", "-Xmx256m"})
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RoutingDecision {

    private static final String POOL = "engines";
    private static final String MODEL = "m";
    private static final int DOMAINS = 14;
    private static final int SLOTS = 16;

    /** Upstreams of the pool. */
    @Param({"13", "130", "1300", "4300"})
    private int size;

    private final RoutingPolicy policy = new AffinityRoutingPolicy();
    private PoolSubset subset;
    private RoutingRequest plain;
    private RoutingRequest prefixed;

    /** Creates a benchmark. */
    public RoutingDecision() {
        // JMH fills the fields.
    }

    /**
     * Runs the benchmark with its allocation.
     *
     * @param arguments none
     * @throws RunnerException if JMH fails
     */
    public static void main(String[] arguments) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(RoutingDecision.class.getSimpleName())
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
    }

    /** Fills a pool with seeded load. */
    @Setup(Level.Trial)
    public void fill() {
        FleetView fleet = new FleetView();
        List<byte[]> announcements = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            announcements.add(UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                    "engine-" + i,
                    POOL,
                    "d" + i % DOMAINS,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                    1,
                    1,
                    List.of(MODEL),
                    false)));
        }
        fleet.update(new ControlUpdateMessage(1, 0, "", true, 1, announcements, List.of()));
        SplittableRandom random = new SplittableRandom(1);
        fleet.pool(POOL).forEach(view -> view.onLoadReport(random.nextInt(SLOTS)));
        PoolSettings pool =
                new PoolSettings(POOL, PoolKind.ENGINE, size, List.of("d0"), List.of(MODEL), SLOTS, 1, false, false);
        StageSettings stage = new StageSettings("generate", POOL, MODEL, true, "");
        subset = new PoolSubset(fleet, 7);
        plain = new RoutingRequest(pool, stage, "d0", 0, Set.of(), Priority.STANDARD, 1, 1);
        prefixed = new RoutingRequest(pool, stage, "d0", 42, Set.of(), Priority.STANDARD, 1, 1);
    }

    /**
     * Chooses by load.
     *
     * @return the choice
     */
    @Benchmark
    public Optional<UpstreamView> byLoad() {
        return policy.choose(subset.of(POOL, MODEL), plain);
    }

    /**
     * Chooses by prefix.
     *
     * @return the choice
     */
    @Benchmark
    public Optional<UpstreamView> byPrefix() {
        return policy.choose(subset.of(POOL, MODEL), prefixed);
    }
}
