package org.copperspindle.routing;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.PoolSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.config.StageSettings;
import org.copperspindle.membership.UpstreamAnnouncement;

import static org.assertj.core.api.Assertions.assertThat;

class RoutingPropertiesTest {

    private static final int SLOTS = 16;

    /** First load at which a priority gets no slot of 16: shares of 1.25, 1.1 and 0.95. */
    private static final int[] SLOTS_BY_PRIORITY = {20, 18, 16};

    private static final PoolSettings POOL =
            new PoolSettings("engines", PoolKind.ENGINE, 8, List.of("north"), List.of("m"), SLOTS, 1, false, false);
    private static final StageSettings STAGE = new StageSettings("generate", "engines", "m", true, "");

    private final RoutingPolicy policy = new AffinityRoutingPolicy();

    /**
     * Every request has the same prefix, so affinity prefers one engine for all of them. Without a bound, callers
     * would wait there while the rest of the pool is idle.
     */
    @Property(seed = "11", tries = 200)
    void onePrefixNeverLoadsAnUpstreamBeyondTheBound(
            @ForAll @IntRange(min = 2, max = 40) int size, @ForAll long affinity) {
        List<UpstreamView> pool = pool(size);
        for (int i = 0; i < size * SLOTS / 2; i++) {
            choose(pool, affinity, Priority.INTERACTIVE).orElseThrow().dispatched();
            double mean = pool.stream().mapToInt(UpstreamView::load).average().orElse(0);
            assertThat(pool).allMatch(view -> view.load() <= (mean + 1) * AffinityRoutingPolicy.LOAD_BOUND + 2);
        }
    }

    /**
     * Upstreams drain, lack the model or are ejected while the pool is under load. An attempt sent to one of them
     * would be refused or fail, and cost the caller part of its deadline.
     */
    @Property(seed = "12", tries = 300)
    void neverChoosesAnUnusableUpstream(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<UpstreamView> pool = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            UpstreamView view = view(i, random.nextBoolean() ? "m" : "other", random.nextInt(3) == 0);
            for (int n = random.nextInt(SLOTS + 4); n > 0; n--) {
                view.dispatched();
            }
            if (random.nextInt(4) == 0) {
                view.health().eject(0);
            }
            pool.add(view);
        }
        Priority priority = Priority.values()[random.nextInt(3)];

        Optional<UpstreamView> choice = choose(pool, random.nextLong(), priority);

        assertThat(choice.map(UpstreamView::announcement).map(UpstreamAnnouncement::draining))
                .isNotEqualTo(Optional.of(true));
        choice.ifPresent(view -> {
            assertThat(view.announcement().models()).contains("m");
            assertThat(view.health().ejected(1)).isFalse();
            assertThat(view.load()).isLessThan(SLOTS_BY_PRIORITY[priority.ordinal()]);
        });
    }

    /**
     * Upstreams of a pool fail in any order, or all at once. If all of them were ejected, callers would be refused
     * although the upstreams are merely slow.
     */
    @Property(seed = "13", tries = 300)
    void ejectionLeavesAtLeastHalfOfThePool(
            @ForAll @IntRange(min = 1, max = 30) int size, @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<UpstreamView> pool = pool(size);
        for (int i = 0; i < size * 20; i++) {
            EjectionPolicy.failed(pool.get(random.nextInt(size)), pool, 1);
            long ejected =
                    pool.stream().filter(view -> view.health().ejected(1)).count();
            assertThat(ejected).isLessThanOrEqualTo(size / 2);
        }
        assertThat(choose(pool, 5, Priority.BATCH)).isPresent();
    }

    @Property(seed = "14", tries = 20)
    void twoFailuresNeverEject(@ForAll @IntRange(min = 2, max = 30) int size) {
        List<UpstreamView> pool = pool(size);
        for (UpstreamView view : pool) {
            assertThat(EjectionPolicy.failed(view, pool, 1)).isFalse();
            assertThat(EjectionPolicy.failed(view, pool, 1)).isFalse();
            view.health().succeeded(1);
        }
    }

    private Optional<UpstreamView> choose(List<UpstreamView> pool, long affinity, Priority priority) {
        return policy.choose(pool, new RoutingRequest(POOL, STAGE, "north", affinity, Set.of(), priority, 1, 1));
    }

    private static List<UpstreamView> pool(int size) {
        List<UpstreamView> pool = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            pool.add(view(i, "m", false));
        }
        return pool;
    }

    private static UpstreamView view(int i, String model, boolean draining) {
        InetSocketAddress agent = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        return new UpstreamView(
                new UpstreamAnnouncement("engine-" + i, "engines", "north", agent, 1, 1, List.of(model), draining));
    }
}
