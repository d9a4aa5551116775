package org.copperspindle.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Expands a {@link TraceLoad} into requests. Uses {@link StrictMath}, so that the same seed gives the same requests
 * on every machine.
 */
final class TraceGenerator {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long STREAM_SEED_STEP = 0x9E3779B97F4A7C15L;

    private TraceGenerator() {}

    /**
     * Expands one load.
     *
     * @param load   the load
     * @param seed   seed of the trace
     * @param stream number of the load in the trace
     * @return its requests in order of arrival
     */
    static List<TraceRequest> expand(TraceLoad load, long seed, int stream) {
        SplittableRandom random = new SplittableRandom(seed + stream * STREAM_SEED_STEP);
        List<TraceRequest> requests = new ArrayList<>();
        double at = load.fromNanos() + nextGapNanos(random, load);
        while (at < load.untilNanos()) {
            requests.add(request(load, (long) at, stream, random));
            at += nextGapNanos(random, load);
        }
        return requests;
    }

    private static TraceRequest request(TraceLoad load, long at, int stream, SplittableRandom random) {
        // One factor for all stages: a long input takes long in each of them.
        double factor = StrictMath.exp(load.spread() * gaussian(random));
        Map<String, Long> work = new LinkedHashMap<>();
        load.workNanos().forEach((stage, median) -> work.put(stage, (long) (median * factor)));
        long prefix = 0;
        if (load.prefixes() > 0) {
            double u = random.nextDouble();
            prefix = stream * 100_000L + 1 + (long) (load.prefixes() * u * u);
        }
        return new TraceRequest(
                at, load.account(), load.pipeline(), load.priority(), load.deadlineNanos(), prefix, work);
    }

    private static double nextGapNanos(SplittableRandom random, TraceLoad load) {
        return -StrictMath.log(1 - random.nextDouble()) / load.perSecond() * NANOS_PER_SECOND;
    }

    private static double gaussian(SplittableRandom random) {
        double radius = StrictMath.sqrt(-2 * StrictMath.log(1 - random.nextDouble()));
        return radius * StrictMath.cos(2 * StrictMath.PI * random.nextDouble());
    }
}
