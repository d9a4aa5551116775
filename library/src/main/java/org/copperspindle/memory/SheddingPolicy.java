package org.copperspindle.memory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which responses are broken off when memory is short. A pure function of
 * its arguments.
 */
final class SheddingPolicy {

    /** Used share of the budget from which responses are broken off. */
    static final double SHEDDING_PRESSURE = 0.9;

    /** Used share of the budget from which it is full. */
    static final double FULL_PRESSURE = 1;

    /**
     * Callers are compared by this unit of unread time. A caller on a slow link reads at least once in it, so that only
     * those that have stopped reading reach the first unit; smaller differences are due to chance.
     */
    static final long UNREAD_UNIT_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Part of the budget that responses may always take. Below it they are not what makes memory short: to break them off
     * would cost callers their answers and make no room for the requests that do.
     */
    static final double RESPONSE_SHARE = 0.2;

    /** Part of the budget below which a response is small: to break it off costs a caller its answer and frees nothing. */
    private static final int SMALL_PARTS = 100;

    private SheddingPolicy() {}

    /**
     * Returns the responses to break off. From a pressure of 0.9, those whose callers have stopped reading, until the
     * pressure is below; from 1, others as well, until it is below 1. None while all responses together take less than
     * their own part of the budget.
     *
     * @param holders     all holders; those without bytes of a response are passed over
     * @param heldBytes   bytes held by all
     * @param budgetBytes size of the budget
     * @return the responses, in the order in which they are to be broken off
     */
    static List<HeldResponse> breakOff(List<HeldResponse> holders, long heldBytes, long budgetBytes) {
        List<HeldResponse> chosen = new ArrayList<>();
        if (heldBytes < SHEDDING_PRESSURE * budgetBytes) {
            return chosen;
        }
        long left = heldBytes;
        long responses = holders.stream().mapToLong(HeldResponse::responseBytes).sum();
        List<HeldResponse> candidates = holders.stream()
                .filter(r -> r.responseBytes() > 0)
                .sorted(order(budgetBytes))
                .toList();
        for (HeldResponse next : candidates) {
            double target = unreadUnits(next) > 0 ? SHEDDING_PRESSURE : FULL_PRESSURE;
            if (left < target * budgetBytes || responses <= RESPONSE_SHARE * budgetBytes) {
                return chosen;
            }
            chosen.add(next);
            left -= next.bytes();
            responses -= next.responseBytes();
        }
        return chosen;
    }

    /** Unread longest first; then all but small ones, those that may be repeated or resumed, not started, and the largest. */
    private static Comparator<HeldResponse> order(long budgetBytes) {
        return Comparator.comparingLong(SheddingPolicy::unreadUnits)
                .reversed()
                .thenComparing(r -> r.bytes() < budgetBytes / SMALL_PARTS)
                .thenComparing(r -> !r.repeatable())
                .thenComparing(HeldResponse::started)
                .thenComparing(Comparator.comparingLong(HeldResponse::bytes).reversed());
    }

    private static long unreadUnits(HeldResponse response) {
        return response.unreadNanos() / UNREAD_UNIT_NANOS;
    }
}
