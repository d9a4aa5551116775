package org.copperspindle.gateway;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamTrackerTest {

    private static final long MILLI = 1_000_000L;

    private final UpstreamTracker tracker = new UpstreamTracker();

    /** A lost packet fails one call; an upstream that crashed fails all. Only the second is left alone. */
    @ParameterizedTest
    @CsvSource({"1, 0, true", "2, 0, false", "2, 499, false", "2, 500, true", "3, 999, false", "3, 1000, true"})
    void upstreamIsLeftAloneAfterFailuresInARow(int failures, long laterMillis, boolean usable) {
        for (int i = 0; i < failures; i++) {
            tracker.started("u");
            tracker.failed("u", 0, "connection-reset");
        }
        assertThat(tracker.isUsable("u", laterMillis * MILLI)).isEqualTo(usable);
    }

    /** After a pause one call tries; the others must not follow it before it is known how it went. */
    @Test
    void oneCallTriesAfterAPause() {
        fail(2);
        assertThat(tracker.isUsable("u", 600 * MILLI)).isTrue();
        tracker.started("u");
        assertThat(tracker.isUsable("u", 600 * MILLI)).isFalse();
        tracker.ended("u", true);
        assertThat(tracker.isUsable("u", 600 * MILLI)).isTrue();
        fail(1);
        assertThat(tracker.isUsable("u", 600 * MILLI)).as("counted anew").isTrue();
    }

    @Test
    void endOfThisSideOwnMakingProvesNothing() {
        fail(1);
        tracker.started("u");
        tracker.ended("u", false);
        fail(1);
        assertThat(tracker.isUsable("u", 0)).isFalse();
        assertThat(tracker.inFlight("u")).isZero();
    }

    /**
     * An upstream crashes, its calls fail, and it is left alone. It starts again under its id at once. Callers must not be
     * refused for the rest of a pause that was meant for its former life.
     */
    @ParameterizedTest
    @CsvSource({"7, false", "8, true"})
    void newLifeIsNotLeftAloneForFailuresOfTheFormer(long incarnation, boolean usable) {
        tracker.updateIncarnation("u", 7);
        fail(2);
        tracker.updateIncarnation("u", incarnation);
        assertThat(tracker.isUsable("u", 0)).isEqualTo(usable);
    }

    private void fail(int times) {
        for (int i = 0; i < times; i++) {
            tracker.started("u");
            tracker.failed("u", 0, "connection-reset");
        }
    }
}
