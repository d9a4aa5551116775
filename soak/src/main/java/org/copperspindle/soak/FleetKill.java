package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A release of engines and the kill of all nodes at once that is placed beside it. Times are in milliseconds.
 *
 * @param version     version that all engines run after the release
 * @param drains      whether engines say that they leave, or only stop
 * @param gapMillis   between two engines that are replaced
 * @param graceMillis for which a replaced engine runs on beside its replacement
 * @param moment      when nodes are killed
 * @param shape       which nodes are killed, and how they come back
 * @param node        number of the node that is treated in its own way
 * @param leadMillis  between the moment and the kill
 * @param backMillis  from the kill until the first node starts
 * @param eachMillis  between two nodes that start
 * @param laterMillis from the kill until a suspended node goes on, and from the start of the last node until all are killed again
 * @param holdMillis  for which the release pauses after the kill
 */
record FleetKill(
        String version,
        boolean drains,
        long gapMillis,
        long graceMillis,
        Moment moment,
        Shape shape,
        int node,
        long leadMillis,
        long backMillis,
        long eachMillis,
        long laterMillis,
        long holdMillis) {

    private static final long SPREAD = 0x9E3779B97F4A7C15L;
    private static final double FORMER_VERSION = 0.35;
    private static final int LONGEST_GAP_MILLIS = 350;
    private static final int SHORTEST_GRACE_MILLIS = 500;
    private static final int MORE_GRACE_MILLIS = 1500;
    private static final int LONGEST_LEAD_MILLIS = 300;
    private static final int SHORTEST_BACK_MILLIS = 300;
    private static final int LONGEST_BACK_MILLIS = 2700;
    private static final int SOON_BACK_MILLIS = 700;
    private static final int LONGEST_EACH_MILLIS = 3300;
    private static final int LONGEST_LATER_MILLIS = 4000;

    private static final double LONG_HOLDS = 0.75;

    /** Long enough that callers come back while two versions serve. */
    private static final int LONG_HOLD_MILLIS = 7000;

    private static final int SHORT_HOLD_MILLIS = 500;

    private static final List<Moment> MOMENTS =
            List.of(Moment.BEFORE, Moment.HALF, Moment.HALF, Moment.AFTER, Moment.AFTER, Moment.AFTER_TWICE);
    private static final List<Shape> SHAPES =
            List.of(Shape.ALL, Shape.ALL, Shape.ALL_STAGGERED, Shape.ALL_BUT_ONE, Shape.ALL_BUT_A_SUSPENDED);

    /** When the nodes are killed. */
    enum Moment {
        /** Before the first engine is replaced; the others are replaced while no node runs. */
        BEFORE,
        /** When half of the engines are replaced; two versions serve for a while after it. */
        HALF,
        /** When the last engine of the former version has ended. */
        AFTER,
        /** The same, and again when the nodes are back. */
        AFTER_TWICE
    }

    /** Which nodes are killed. */
    enum Shape {
        /** All, and all are back at once. */
        ALL,
        /** All, and they are back one after the other. */
        ALL_STAGGERED,
        /** All but one. */
        ALL_BUT_ONE,
        /** All but one that is suspended before, and goes on after the kill. */
        ALL_BUT_A_SUSPENDED
    }

    /**
     * Draws as many as could be needed.
     *
     * @param seed  decides all of them
     * @param nodes number of nodes
     * @param count how many
     * @param first version before the first release
     */
    static List<FleetKill> plan(long seed, int nodes, int count, String first) {
        // Neighbouring seeds would begin with nearly the same draws.
        Random random = new Random(seed * SPREAD);
        List<Moment> moments = new ArrayList<>();
        List<Shape> shapes = new ArrayList<>();
        List<FleetKill> plan = new ArrayList<>();
        List<String> former = new ArrayList<>(List.of(first));
        int released = 1;
        String running = first;
        for (int i = 0; i < count; i++) {
            List<String> others = new ArrayList<>(former);
            others.remove(running);
            boolean again = !others.isEmpty() && random.nextDouble() < FORMER_VERSION;
            String next = again ? others.get(random.nextInt(others.size())) : "v" + ++released;
            if (!again) {
                former.add(next);
            }
            plan.add(draw(random, next, take(moments, MOMENTS, random), take(shapes, SHAPES, random), nodes));
            running = next;
        }
        return plan;
    }

    private static FleetKill draw(Random random, String version, Moment moment, Shape shape, int nodes) {
        return new FleetKill(
                version,
                random.nextBoolean(),
                random.nextInt(LONGEST_GAP_MILLIS),
                SHORTEST_GRACE_MILLIS + random.nextInt(MORE_GRACE_MILLIS),
                moment,
                shape,
                random.nextInt(nodes),
                random.nextInt(LONGEST_LEAD_MILLIS),
                SHORTEST_BACK_MILLIS + random.nextInt(random.nextBoolean() ? LONGEST_BACK_MILLIS : SOON_BACK_MILLIS),
                random.nextInt(LONGEST_EACH_MILLIS),
                random.nextInt(LONGEST_LATER_MILLIS),
                random.nextDouble() < LONG_HOLDS ? LONG_HOLD_MILLIS : SHORT_HOLD_MILLIS);
    }

    /** All values come before one comes again, so that few releases cover all. */
    private static <T> T take(List<T> left, List<T> all, Random random) {
        if (left.isEmpty()) {
            left.addAll(all);
            Collections.shuffle(left, random);
        }
        return left.remove(0);
    }
}
