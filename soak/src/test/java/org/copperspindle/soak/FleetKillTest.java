package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A plan that leaves a moment, a shape or a kind of release out would never show what breaks there.
 */
class FleetKillTest {

    private static final int NODES = 4;
    private static final int RELEASES = 40;
    private static final String FIRST = "v1";

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void planHoldsAllMomentsAndShapes(long seed) {
        List<FleetKill> plan = FleetKill.plan(seed, NODES, RELEASES, FIRST);
        assertThat(plan).extracting(FleetKill::moment).contains(FleetKill.Moment.values());
        assertThat(plan).extracting(FleetKill::shape).contains(FleetKill.Shape.values());
        assertThat(plan).extracting(FleetKill::drains).contains(true, false);
    }

    /** Each release changes the version, and former versions come back. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void versionsChangeAndComeBack(long seed) {
        List<String> versions = new ArrayList<>(List.of(FIRST));
        FleetKill.plan(seed, NODES, RELEASES, FIRST).forEach(each -> versions.add(each.version()));
        for (int i = 1; i < versions.size(); i++) {
            assertThat(versions.get(i)).isNotEqualTo(versions.get(i - 1));
        }
        Set<String> different = new HashSet<>(versions);
        assertThat(different).hasSizeBetween(RELEASES / 4, RELEASES - 1);
    }

    @Test
    void planIsDrawnFromTheSeed() {
        List<FleetKill> plan = FleetKill.plan(7, NODES, RELEASES, FIRST);
        assertThat(FleetKill.plan(7, NODES, RELEASES, FIRST)).isEqualTo(plan);
        assertThat(FleetKill.plan(8, NODES, RELEASES, FIRST)).isNotEqualTo(plan);
    }
}
