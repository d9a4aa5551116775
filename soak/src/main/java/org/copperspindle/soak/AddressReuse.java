package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * A crash of a stage upstream whose address another upstream uses later. Times are in milliseconds.
 *
 * @param atMillis   when the later stages become slow, from the start of the plan
 * @param place      number of the upstream that crashes; another one takes its place, at an address of its own
 * @param leadMillis until the crash: results are made that wait for a later stage
 * @param gapMillis  from the crash until the address is used again
 * @param successor  pool of the upstream that uses it
 * @param slowMillis for which later stages stay slow after that
 * @param livesMillis for which the successor runs
 */
record AddressReuse(
        long atMillis,
        int place,
        long leadMillis,
        long gapMillis,
        String successor,
        long slowMillis,
        long livesMillis) {

    /** Parts these draws from those of the other plans. */
    private static final long OWN_DRAWS = 0x9E3779B97F4A7C15L;

    /** All of them come before one comes again. Upstreams without stages are drawn more often: nodes notice them rarely. */
    private static final List<String> SUCCESSORS = List.of(
            SoakUpstream.WEB,
            SoakUpstream.WEB,
            SoakUpstream.ENGINE,
            SoakUpstream.ENGINE,
            SoakUpstream.STAGE,
            SoakUpstream.LATER_STAGE);

    /** Share of crashes in the first stage, whose results wait longest. */
    private static final double FIRST_STAGE_SHARE = 0.75;

    /** Results wait for the later stage by then. */
    private static final int FIRST_MILLIS = 1500;

    private static final int LONGEST_SERIES = 3;
    private static final int LONGEST_STEP_MILLIS = 1200;
    private static final int SHORTEST_LEAD_MILLIS = 300;
    private static final int MORE_LEAD_MILLIS = 900;

    /** No address is used again sooner. */
    static final int SHORTEST_GAP_MILLIS = 2000;

    private static final int MORE_GAP_MILLIS = 800;
    private static final int SHORTEST_SLOW_MILLIS = 500;
    private static final int MORE_SLOW_MILLIS = 2000;
    private static final int SHORTEST_LIFE_MILLIS = 2500;
    private static final int MORE_LIFE_MILLIS = 4000;
    private static final int LONGEST_PAUSE_MILLIS = 1500;

    /** Draws the plan of a soak, in series that overlap. */
    static List<AddressReuse> plan(SoakSettings settings) {
        List<AddressReuse> plan = new ArrayList<>();
        if (!settings.reuses()) {
            return plan;
        }
        // Neighbouring seeds would begin with nearly the same draws.
        Random random = new Random(settings.seed() * OWN_DRAWS);
        List<String> pools = SoakPools.of(settings);
        List<String> successors = new ArrayList<>();
        long at = FIRST_MILLIS;
        while (at < settings.duration().toMillis()) {
            long longest = 0;
            int series = 1 + random.nextInt(LONGEST_SERIES);
            for (int i = 0; i < series; i++) {
                if (successors.isEmpty()) {
                    successors.addAll(SUCCESSORS);
                    Collections.shuffle(successors, random);
                }
                String pool = random.nextDouble() < FIRST_STAGE_SHARE ? SoakUpstream.STAGE : SoakUpstream.LATER_STAGE;
                long begin = at + random.nextInt(LONGEST_STEP_MILLIS);
                AddressReuse next = draw(random, begin, places(pools, pool), successors.remove(0));
                plan.add(next);
                longest = Math.max(longest, next.slowUntilMillis());
            }
            at = longest + random.nextInt(LONGEST_PAUSE_MILLIS);
        }
        return plan;
    }

    private static List<Integer> places(List<String> pools, String pool) {
        return IntStream.range(0, pools.size())
                .filter(number -> pools.get(number).equals(pool))
                .boxed()
                .toList();
    }

    private static AddressReuse draw(Random random, long at, List<Integer> places, String successor) {
        return new AddressReuse(
                at,
                places.get(random.nextInt(places.size())),
                SHORTEST_LEAD_MILLIS + random.nextInt(MORE_LEAD_MILLIS),
                SHORTEST_GAP_MILLIS + random.nextInt(MORE_GAP_MILLIS),
                successor,
                SHORTEST_SLOW_MILLIS + random.nextInt(MORE_SLOW_MILLIS),
                SHORTEST_LIFE_MILLIS + random.nextInt(MORE_LIFE_MILLIS));
    }

    /** Returns for how long later stages are slow. */
    long slowForMillis() {
        return leadMillis + gapMillis + slowMillis;
    }

    private long slowUntilMillis() {
        return atMillis + slowForMillis();
    }

    long endMillis() {
        return atMillis + leadMillis + gapMillis + Math.max(slowMillis, livesMillis);
    }
}
