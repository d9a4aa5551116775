package org.copperspindle.admission;

import java.time.Duration;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Times for which refused callers are booked to retry. Retries get half of the throughput of their pools, so that they
 * fit beside new requests and don't arrive together.
 */
final class RetryBookings {

    /** Part of the time that the caller has left, before and after which it should not retry. */
    private static final double EARLIEST_FRACTION = 0.25;

    private static final double LATEST_FRACTION = 1.0 / 3;

    /** Length of the slots in which work is booked: a quarter of a usual call. */
    private static final long SLOT_NANOS = Duration.ofMillis(100).toNanos();

    /** Part of a slot that is booked for retries. */
    private static final double SLOT_FRACTION = 0.5;

    private final RandomGenerator random;
    private final TreeMap<Long, Long> bookedNanos = new TreeMap<>();

    /**
     * Creates the bookings.
     *
     * @param random spreads the retries within their slots, and over the whole allowed time when all slots are taken
     */
    RetryBookings(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Books a retry.
     *
     * @param costNanos work of the request, as time for which it occupies its pool
     * @param leftNanos time that the caller has left
     * @param now       monotonic time in nanoseconds
     * @return delay after which the caller should retry
     */
    Duration book(long costNanos, long leftNanos, long now) {
        bookedNanos.headMap(Math.floorDiv(now, SLOT_NANOS)).clear();
        long earliest = now + part(leftNanos, EARLIEST_FRACTION);
        long latest = now + part(leftNanos, LATEST_FRACTION);
        long first = Math.floorDiv(earliest, SLOT_NANOS);
        long last = Math.floorDiv(latest, SLOT_NANOS);
        for (long slot = first; slot <= last; slot++) {
            long booked = bookedNanos.getOrDefault(slot, 0L);
            // A request that needs more than a slot gets one of its own.
            if (booked == 0 || costNanos <= SLOT_FRACTION * SLOT_NANOS - booked) {
                bookedNanos.put(slot, booked + Math.max(1, costNanos));
                return delay(Math.max(earliest, slot * SLOT_NANOS), Math.min(latest, (slot + 1) * SLOT_NANOS - 1), now);
            }
        }
        return unbooked(leftNanos);
    }

    /**
     * Returns a delay for a caller that will probably not retry, or for which no slot is left.
     *
     * @param leftNanos time that the caller has left
     * @return a random delay
     */
    Duration unbooked(long leftNanos) {
        return delay(part(leftNanos, EARLIEST_FRACTION), part(leftNanos, LATEST_FRACTION), 0);
    }

    private static long part(long leftNanos, double fraction) {
        return (long) (Math.max(0, leftNanos) * fraction);
    }

    private Duration delay(long from, long until, long now) {
        return Duration.ofNanos(from - now + (until > from ? random.nextLong(until - from + 1) : 0));
    }
}
