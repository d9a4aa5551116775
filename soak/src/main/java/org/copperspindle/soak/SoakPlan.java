package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The disturbances of one soak, all drawn from its seed. They come in series and overlap. A disk is lost once at most, and
 * nothing else happens to voters while it comes back: losing two of three is not promised to be survived.
 */
final class SoakPlan {

    private static final long FIRST_MILLIS = 500;
    private static final int LONGEST_SERIES = 3;
    private static final int LONGEST_GAP_MILLIS = 2500;
    private static final int SHORTEST_MILLIS = 300;
    private static final int LONGEST_MILLIS = 4000;

    /** Time in which a node with a lost disk is a voter again. */
    private static final long REPAIR_MILLIS = 8000;

    private SoakPlan() {}

    static List<Disturbance> of(SoakSettings settings, int upstreams) {
        SplittableRandom random = new SplittableRandom(settings.seed());
        List<Disturbance> plan = new ArrayList<>();
        long end = settings.duration().toMillis();
        long at = FIRST_MILLIS;
        boolean diskLost = false;
        while (at < end) {
            int series = 1 + random.nextInt(LONGEST_SERIES);
            for (int i = 0; i < series; i++) {
                DisturbanceKind kind = DisturbanceKind.GENERAL.get(random.nextInt(DisturbanceKind.GENERAL.size()));
                if (kind == DisturbanceKind.LOSE_DISK && diskLost) {
                    kind = DisturbanceKind.KILL;
                }
                int targets = targets(kind, settings, upstreams);
                long lasts = SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS);
                plan.add(new Disturbance(at, lasts, kind, random.nextInt(targets)));
                at += random.nextInt(LONGEST_GAP_MILLIS / LONGEST_SERIES);
                if (kind == DisturbanceKind.LOSE_DISK) {
                    diskLost = true;
                    at += REPAIR_MILLIS;
                }
            }
            at += random.nextInt(LONGEST_GAP_MILLIS);
        }
        plan.removeIf(d -> d.atMillis() >= end);
        plan.sort(Comparator.comparingLong(Disturbance::atMillis));
        return plan;
    }

    private static int targets(DisturbanceKind kind, SoakSettings settings, int upstreams) {
        return switch (kind) {
            case LOSE_DISK -> settings.nodes() - 1;
            case UPSTREAM_CRASH, UPSTREAM_DRAIN -> upstreams;
            default -> settings.nodes();
        };
    }
}
