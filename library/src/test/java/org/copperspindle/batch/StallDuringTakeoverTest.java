package org.copperspindle.batch;

import java.util.Set;

import org.copperspindle.standby.TakeoverMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Stalls of the standby, and of a node that has groups there, while a takeover lasts. Node 1 is the suspended
 * dispatcher, node 2 its standby.
 */
class StallDuringTakeoverTest {

    private static final String STANDBY = TakeoverFleet.name(2);

    private final TakeoverFleet fleet = new TakeoverFleet(4, Set.of(TakeoverFleet.POOL));

    @BeforeEach
    void takeOver() {
        fleet.upstream("a");
        fleet.upstream("b");
        fleet.advance(500);
        fleet.node(1).suspend(true);
        fleet.advance(400);
        assertThat(fleet.node(3).acting()).isEqualTo(STANDBY);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    /** A node whose takeover expired only because it stood still must not move its groups to the silent dispatcher. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nodeKeepsTheTakeoverAfterItsOwnStall(boolean clockStops) {
        fleet.node(3).suspend(clockStops);
        fleet.advance(1000);
        fleet.node(3).resume();
        for (int i = 0; i < 200; i++) {
            assertThat(fleet.node(3).acting()).isEqualTo(STANDBY);
            fleet.advance(1);
        }
    }

    /** A stall of the standby that other nodes have not noticed must not end the takeover of a silent dispatcher. */
    @ParameterizedTest
    @CsvSource({"300, true", "300, false", "600, true", "600, false"})
    void standbyContinuesAfterAShortStall(long stall, boolean clockStops) {
        fleet.node(2).suspend(clockStops);
        fleet.advance(stall);
        fleet.node(2).resume();
        fleet.advance(1000);
        assertThat(fleet.node(3).acting()).isEqualTo(STANDBY);
        assertThat(fleet.sent(TakeoverMessage.class)).noneMatch(sent -> ((TakeoverMessage) sent.message()).ends());
    }

    /** After a longer stall other nodes have returned to the dispatcher; the standby must not take the pool again. */
    @Test
    void standbyReturnsThePoolAfterALongStall() {
        fleet.node(2).suspend(true);
        fleet.advance(1000);
        fleet.node(2).resume();
        fleet.advance(5);
        assertThat(fleet.node(2).standby.counters().active()).isZero();
    }
}
