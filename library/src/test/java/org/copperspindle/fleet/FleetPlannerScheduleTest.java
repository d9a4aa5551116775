package org.copperspindle.fleet;

import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random schedules of lost and returning upstreams, failed and slow loads, and changes of leader and configuration, in
 * virtual time. After each step: no model loses its last copy by an order, no pool exceeds its share of upstreams in
 * change, and the weight store's rate holds over any interval. Once the faults end, the desired placement is reached.
 */
class FleetPlannerScheduleTest {

    private static final int STEPS = 2000;
    private static final String[] CONFIGURATIONS = {
        "copies = a:6, b:3, c:1\nslots = 1\nmax-in-change = 0.25\n",
        "copies = a:2, b:2, c:2, d@2:4\nslots = 1\nmax-in-change = 0.2\n",
        "copies = a:4, a+x:2, b:4, d@3:4\nslots = 2\nadapter-slots = 2\nmax-in-change = 0.3\n"
    };

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void invariantsHoldAndPlacementConverges(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PlannedFleet fleet = new PlannedFleet(20, 3, CONFIGURATIONS[0]);
        fleet.random = random;
        for (int step = 0; step < STEPS; step++) {
            int event = random.nextInt(100);
            if (event < 3) {
                fleet.removeAny();
            } else if (event < 7) {
                fleet.addOne();
            } else if (event < 8) {
                fleet.changeLeader();
            } else if (event < 9) {
                fleet.configure(CONFIGURATIONS[random.nextInt(CONFIGURATIONS.length)]);
            } else if (event < 11) {
                fleet.restartAny();
            }
            fleet.failureShare = step < STEPS / 2 ? 0.3 : 0;
            fleet.loadSeconds = 1 + random.nextInt(30);
            fleet.run(1);
            assertThat(fleet.violations).as("seed " + seed + " step " + step).isEmpty();
        }
        fleet.failureShare = 0;
        while (fleet.size() < 20) {
            fleet.addOne();
        }

        fleet.settle();

        assertThat(fleet.violations).isEmpty();
        assertThat(fleet.shortfalls()).as("seed " + seed).isEmpty();
        assertThat(fleet.loadsStarted).isGreaterThan(50);
    }
}
