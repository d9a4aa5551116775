package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What is done while stage pools are short of capacity, drawn from the seed: dispatchers are suspended or killed, several
 * at once in half of the seeds, and engines crash or fall silent. One series follows the other, so that there is time to
 * see whether the other nodes answer again.
 */
final class ShortagePlan {

    /** Parts these draws from those of the general plan. */
    private static final long OWN_DRAWS = 0x2545F4914F6CDD1DL;

    /** Pools are short by then. */
    private static final int FIRST_MILLIS = 2000;

    private static final int SHORTEST_MILLIS = 400;
    private static final int LONGEST_MILLIS = 6000;
    private static final int LONGEST_GAP_MILLIS = 2000;

    /** A node that is started serves after about this, on a busy machine. */
    private static final int START_MILLIS = 3000;

    private static final double ENGINE_SHARE = 0.35;

    /** An engine that crashes may be silent for as long before that; its streams have time left to be resumed. */
    private static final int LONGEST_STALL_MILLIS = 1000;

    /** Time in which the dispatchers of one series fail, below the timeout of a standby. */
    private static final int TOGETHER_MILLIS = 250;

    private static final int MOST_TOGETHER = 3;

    private ShortagePlan() {}

    /**
     * Draws the disturbances of a soak. The target of one of a dispatcher is the number of its pool.
     *
     * @param settings what to run
     * @param pools    number of stage pools
     * @param engines  numbers of the engines
     */
    static List<Disturbance> of(SoakSettings settings, int pools, List<Integer> engines) {
        SplittableRandom random = new SplittableRandom(settings.seed() ^ OWN_DRAWS);
        int most = random.nextBoolean() ? MOST_TOGETHER : 1;
        List<Disturbance> plan = new ArrayList<>();
        long at = FIRST_MILLIS;
        while (at < settings.duration().toMillis()) {
            long longest = 0;
            if (random.nextDouble() < ENGINE_SHARE) {
                int engine = engines.get(random.nextInt(engines.size()));
                boolean crashes = random.nextBoolean();
                longest = crashes ? random.nextInt(LONGEST_STALL_MILLIS) : length(random);
                plan.add(new Disturbance(at, longest, DisturbanceKind.ENGINE_SILENCE, engine));
                if (crashes) {
                    plan.add(new Disturbance(at + longest, 0, DisturbanceKind.UPSTREAM_CRASH, engine));
                }
            } else {
                int together = 1 + random.nextInt(most);
                for (int i = 0; i < together; i++) {
                    boolean kill = random.nextBoolean();
                    long lasts = length(random);
                    DisturbanceKind kind = kill ? DisturbanceKind.DISPATCHER_KILL : DisturbanceKind.DISPATCHER_PAUSE;
                    long begin = i == 0 ? at : at + random.nextInt(TOGETHER_MILLIS);
                    plan.add(new Disturbance(begin, lasts, kind, random.nextInt(pools)));
                    longest = Math.max(longest, kill ? lasts + START_MILLIS : lasts);
                }
                longest += RecoveryWatch.BOUND_MILLIS;
            }
            at += longest + random.nextInt(LONGEST_GAP_MILLIS);
        }
        return plan;
    }

    private static long length(SplittableRandom random) {
        return SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS);
    }
}
