package org.copperspindle.soak;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Which pools the upstreams of a soak belong to.
 */
final class SoakPools {

    private static final List<String> POOLS = List.of(
            SoakUpstream.WEB,
            SoakUpstream.WEB,
            SoakUpstream.WEB,
            SoakUpstream.ENGINE,
            SoakUpstream.ENGINE,
            SoakUpstream.ENGINE,
            SoakUpstream.STAGE,
            SoakUpstream.STAGE);

    /** Added where the second stage has a pool of its own. */
    private static final List<String> LATER_POOL = List.of(SoakUpstream.LATER_STAGE, SoakUpstream.LATER_STAGE);

    /** With releases there are enough engines that two of each version are left while others are replaced. */
    private static final List<String> POOLS_WITH_RELEASES = Stream.concat(
                    POOLS.stream(), Stream.generate(() -> SoakUpstream.ENGINE).limit(3))
            .toList();

    /** The pools of the two stages, where each has its own. */
    static final List<String> STAGE_POOLS = List.of(SoakUpstream.LATER_STAGE, SoakUpstream.STAGE);

    private SoakPools() {}

    /** Returns the pool of each upstream that a soak starts. */
    static List<String> of(SoakSettings settings) {
        List<String> pools = settings.releases() && !settings.shortage() ? POOLS_WITH_RELEASES : POOLS;
        return settings.hasLaterPool()
                ? Stream.concat(pools.stream(), LATER_POOL.stream()).toList()
                : pools;
    }

    /** Returns the numbers of the engines among the upstreams of a soak. */
    static List<Integer> engines(SoakSettings settings) {
        List<String> pools = of(settings);
        return IntStream.range(0, pools.size())
                .filter(number -> pools.get(number).equals(SoakUpstream.ENGINE))
                .boxed()
                .toList();
    }
}
