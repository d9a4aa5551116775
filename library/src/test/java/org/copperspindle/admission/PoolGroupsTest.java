package org.copperspindle.admission;

import org.copperspindle.route.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PoolGroupsTest {

    /** Nodes would ask different controllers if the group depended on the order of the routes. */
    @Test
    void connectsPoolsThroughRoutesInAnyOrder() {
        Route first = TestStarts.route("first", 0, 1000, 9000, "d", "c");
        Route second = TestStarts.route("second", 0, 1000, 9000, "b", "a");
        Route both = TestStarts.route("both", 0, 1000, 9000, "c", "b");
        Route apart = TestStarts.route("apart", 0, 1000, 9000, "z");
        for (PoolGroups groups : new PoolGroups[] {
            PoolGroups.of(TestStarts.table(first, second, both, apart)),
            PoolGroups.of(TestStarts.table(both, apart, second, first))
        }) {
            for (String pool : new String[] {"a", "b", "c", "d"}) {
                assertThat(groups.groupOf(pool)).contains("a");
            }
            assertThat(groups.groupOf("z")).contains("z");
            assertThat(groups.groupOf("engines")).isEmpty();
        }
    }

    /** Where no request has time to wait for a more urgent one, nodes must decide alone as before. */
    @ParameterizedTest
    @CsvSource({"3000, 6000, 2, true", "2999, 6000, 2, false", "3000, 6000, 0, false"})
    void coordinatesOnlyGroupsWithADeferrableRoute(long objective, long timeout, int rank, boolean coordinated) {
        Route urgent = TestStarts.route("urgent", 0, 1000, 9000, "p", "q");
        Route label = TestStarts.route("label", rank, objective, timeout, "q");
        Route plain = TestStarts.route("plain", 2, 3000, 6000);
        Route apart = TestStarts.route("apart", 2, 3000, 6000, "z");
        PoolGroups groups = PoolGroups.of(TestStarts.table(urgent, label, plain, apart));
        assertThat(groups.isCoordinated(urgent)).isEqualTo(coordinated);
        assertThat(groups.isCoordinated(label)).isEqualTo(coordinated);
        assertThat(groups.isCoordinated(plain)).isFalse();
        assertThat(groups.isCoordinated(apart)).isFalse();
    }

    /** A pool without a deferrable route must not get a standby, whose messages it does not need. */
    @Test
    void listsThePoolsOfCoordinatedGroupsOnly() {
        Route urgent = TestStarts.route("urgent", 0, 1000, 9000, "p", "q");
        Route label = TestStarts.route("label", 2, 3000, 6000, "q");
        Route apart = TestStarts.route("apart", 2, 3000, 6000, "z");
        assertThat(PoolGroups.of(TestStarts.table(urgent, label, apart)).coordinatedPools())
                .containsExactlyInAnyOrder("p", "q");
        assertThat(PoolGroups.of(TestStarts.table(urgent, apart)).coordinatedPools())
                .isEmpty();
    }
}
