package org.copperspindle.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBookingsTest {

    private static final long LEFT = Duration.ofSeconds(12).toNanos();
    private static final long SLOT = Duration.ofMillis(100).toNanos();

    private final RetryBookings bookings = new RetryBookings(new SplittableRandom(1));

    /** Retries that come all at once, too early or too late would fail a second time. */
    @ParameterizedTest
    @ValueSource(longs = {0, -1_000_000_007, 5_000_000_000_000L})
    void spreadsRetriesAtHalfOfTheThroughput(long now) {
        List<Long> at = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            at.add(bookings.book(SLOT / 10, LEFT, now).toNanos());
        }
        assertThat(at).allMatch(nanos -> nanos >= LEFT / 4 && nanos <= LEFT / 3);
        for (long slot = 0; slot < 8; slot++) {
            long from = LEFT / 4 + slot * SLOT;
            assertThat(at.stream()
                            .filter(nanos -> nanos >= from && nanos < from + SLOT)
                            .count())
                    .isLessThanOrEqualTo(10);
        }
    }

    /** A caller that has no time left, or a flood of refusals, must not make the delay negative or too long. */
    @ParameterizedTest
    @ValueSource(longs = {-5, 0, 3, 1_000_000_000})
    void keepsBoundsWhenNothingIsFree(long left) {
        for (int i = 0; i < 200; i++) {
            long nanos = bookings.book(10 * SLOT, left, 0).toNanos();
            assertThat(nanos).isBetween(Math.max(0, left) / 4, Math.max(0, left) / 3);
        }
    }

    /** The cost at a pool of nearly no throughput must not overflow its slot, which would be booked without limit. */
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, Long.MAX_VALUE / 2})
    void hugeCostTakesASlotOfItsOwn(long cost) {
        List<Long> slots = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            slots.add(bookings.book(cost, LEFT, 0).toNanos() / SLOT);
        }
        assertThat(slots).doesNotHaveDuplicates();
    }
}
