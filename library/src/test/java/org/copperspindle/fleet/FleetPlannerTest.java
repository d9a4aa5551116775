package org.copperspindle.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Decisions of the planner in specific situations, on a simulated pool.
 */
class FleetPlannerTest {

    /**
     * Two models have lost copies, one of them half of its two, the other a quarter of its four. The model that misses
     * half of its copies is loaded first.
     */
    @Test
    void highestShortfallFirst() {
        PlannedFleet fleet = new PlannedFleet(8, 1, "copies = a:4, b:2\nslots = 1\n");
        fleet.settle();
        fleet.loseCopies("a", 1);
        fleet.loseCopies("b", 1);

        assertThat(fleet.placed()).startsWith("LOAD_MODEL b", "LOAD_MODEL a");
    }

    /**
     * A VM is lost while its engine loads a model. The order is abandoned at once and the copy is loaded elsewhere; the
     * weight store's rate covers both loads.
     */
    @Test
    void upstreamLostDuringLoadIsReplaced() {
        PlannedFleet fleet = new PlannedFleet(4, 1, "copies = a:1\nslots = 1\n");
        fleet.loadSeconds = 60;
        fleet.run(5);
        String first = fleet.openUpstreams().get(0);
        fleet.remove(first);

        fleet.run(5);

        assertThat(fleet.openUpstreams()).hasSize(1).doesNotContain(first);
        fleet.settle();
        assertThat(fleet.serving("a")).isEqualTo(1);
    }

    /**
     * The weight store is slow: each load takes ten times as long as usual. The number of concurrent loads stays within
     * the limit and no load is abandoned before its timeout, so a slow store does not receive more load.
     */
    @Test
    void slowWeightStoreGetsNoAdditionalLoads() {
        PlannedFleet fleet = new PlannedFleet(100, 1, "copies = a:60\nslots = 1\nmax-in-change = 1\n");
        fleet.loadSeconds = 300;

        fleet.run(290);

        assertThat(fleet.openUpstreams()).hasSize(8);
        assertThat(fleet.loadsStarted).isEqualTo(8);
    }

    /**
     * A new version replaces the old one, which occupies every slot. Copies are changed within the permitted share, and
     * at least one version serves at any time. With a single engine nothing is unloaded, because its copy is the last.
     */
    @ParameterizedTest
    @CsvSource({"4, 0", "8, 0", "1, 1"})
    void newVersionNeverLeavesTheModelWithoutACopy(int upstreams, int oldCopiesLeft) {
        PlannedFleet fleet = new PlannedFleet(upstreams, 1, "copies = m@1:" + upstreams + "\nslots = 1\n");
        fleet.settle();
        assertThat(fleet.serving("m@1")).isEqualTo(upstreams);

        fleet.configure("copies = m@2:" + upstreams + "\nslots = 1\n");
        fleet.settle();

        assertThat(fleet.serving("m@1")).isEqualTo(oldCopiesLeft);
        assertThat(fleet.serving("m@2")).isEqualTo(upstreams - oldCopiesLeft);
        assertThat(fleet.violations).isEmpty();
    }

    /**
     * The agent of an unload order is unreachable, so it is unknown whether the order was executed. However long that
     * lasts, the copy must not count as serving again: otherwise the other copy would be unloaded as well, and both
     * engines would be empty.
     */
    @Test
    void unreportedUnloadStaysOpen() {
        PlannedFleet fleet = new PlannedFleet(2, 1, "copies = m@1:2\nslots = 1\nmax-in-change = 1\n");
        fleet.settle();
        fleet.unresponsive = true;
        fleet.configure("copies = m@2:2\nslots = 1\nmax-in-change = 1\n");
        fleet.loseCopies("none", 0);

        fleet.settle();

        assertThat(fleet.placed()).containsExactly("UNLOAD_MODEL m@1");
    }

    /**
     * One model can't be loaded anywhere and has the largest shortfall. Its retries are delayed more and more, so that
     * the other model is loaded in the meantime instead of waiting for the weight store's rate.
     */
    @Test
    void modelThatNeverLoadsDoesNotStarveTheOthers() {
        PlannedFleet fleet = new PlannedFleet(20, 1, "copies = bad:10, good:10\nslots = 1\n");
        fleet.failing = List.of("bad");

        fleet.run(300);

        assertThat(fleet.serving("good")).isEqualTo(10);
        assertThat(fleet.failures).isBetween(3, 30);
    }

    /**
     * Copies are placed in the failure domain with the fewest copies, and adapters only where their base model serves.
     */
    @Test
    void copiesAreSpreadAndAdaptersFollowTheirBase() {
        PlannedFleet fleet =
                new PlannedFleet(12, 3, "copies = m:3, m+lora:2\nslots = 1\nadapter-slots = 1\nmax-in-change = 1\n");
        fleet.settle();

        assertThat(fleet.domainsOf("m")).containsExactlyInAnyOrder("d0", "d1", "d2");
        assertThat(fleet.serving("m+lora")).isEqualTo(2);
        assertThat(fleet.holders("m")).containsAll(fleet.holders("m+lora"));
    }
}
