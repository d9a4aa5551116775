package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One evacuation of a failure domain by the operator.
 *
 * @param atMillis      when it is ordered, from the start of the plan
 * @param forMillis     how long after its acknowledgement its end is ordered
 * @param failureDomain the failure domain
 */
record Evacuation(long atMillis, long forMillis, String failureDomain) {

    /** Nothing that a caller sends so long after the acknowledgement reaches the failure domain, from any node. */
    static final long BOUND_MILLIS = 5000;

    /** Parts these draws from those of the disturbances, so that a seed means the same disturbances with and without. */
    private static final long OWN_DRAWS = 0x5DEECE66DL;

    private static final int FIRST_MILLIS = 1500;
    private static final int SHORTEST_MILLIS = 6000;
    private static final int MORE_MILLIS = 4000;

    /** Plans evacuations of one failure domain after the other, over the time with disturbances. */
    static List<Evacuation> plan(SoakSettings settings) {
        List<Evacuation> plan = new ArrayList<>();
        if (!settings.evacuates()) {
            return plan;
        }
        SplittableRandom random = new SplittableRandom(settings.seed() ^ OWN_DRAWS);
        long at = random.nextInt(FIRST_MILLIS);
        while (at < settings.duration().toMillis()) {
            long lasts = SHORTEST_MILLIS + random.nextInt(MORE_MILLIS);
            plan.add(new Evacuation(at, lasts, SoakUpstream.failureDomain(random.nextInt(SoakUpstream.DOMAINS))));
            at += lasts + random.nextInt(MORE_MILLIS);
        }
        return plan;
    }

    long endMillis() {
        return atMillis + forMillis;
    }
}
