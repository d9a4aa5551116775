package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * A balancer that hands most new connections to one node for some seconds, then to another one.
 */
final class LeaningBalancer {

    private static final long LEAN_MILLIS = 5000;
    private static final long REST_MILLIS = 1500;
    private static final double LEANING_SHARE = 0.9;

    /** Keeps its draws apart from those of the plan, which stays what it is without this balancer. */
    private static final long SEED_OFFSET = 0x1ea4;

    private final List<Lean> leans = new ArrayList<>();

    /**
     * Plans the leans of one soak.
     *
     * @param from     when the first may begin, in milliseconds
     * @param settings seed, duration and number of nodes
     */
    LeaningBalancer(long from, SoakSettings settings) {
        Random random = new Random(settings.seed() + SEED_OFFSET);
        long end = from + settings.duration().toMillis();
        long at = from + REST_MILLIS;
        while (at + LEAN_MILLIS <= end) {
            leans.add(new Lean(at, at + LEAN_MILLIS, random.nextInt(settings.nodes())));
            at += LEAN_MILLIS + REST_MILLIS;
        }
    }

    List<Lean> leans() {
        return leans;
    }

    /**
     * Returns the node that most new connections go to now.
     *
     * @param draw decides whether this connection goes there, 0 to 1
     * @return number of the node; empty if the connection goes to any node
     */
    Optional<Integer> lean(double draw) {
        long now = System.currentTimeMillis();
        return leans.stream()
                .filter(lean -> lean.from() <= now && now < lean.to() && draw < LEANING_SHARE)
                .map(Lean::node)
                .findFirst();
    }

    /**
     * Time in which most new connections go to one node.
     *
     * @param from when it begins, in milliseconds
     * @param to   when it ends
     * @param node number of the node
     */
    record Lean(long from, long to, int node) {}
}
