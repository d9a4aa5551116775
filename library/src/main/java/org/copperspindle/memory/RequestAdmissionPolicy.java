package org.copperspindle.memory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether more bytes of an arriving request are taken, and which other requests that are still arriving are rejected
 * for them. A pure function of its arguments.
 */
final class RequestAdmissionPolicy {

    /** Part of the budget up to which large requests are taken. */
    static final double LARGE_SHARE = 0.7;

    /** Part of the budget up to which small requests are taken beside all others. */
    static final double TOTAL_SHARE = 0.85;

    /** Part of the budget that small requests may take whatever the large ones hold. */
    static final double SMALL_SHARE = 0.2;

    /**
     * A large request is taken whatever its size while all others hold no more than this part of the budget, so that one
     * alone is always served.
     */
    static final double OTHERS_SHARE = 0.1;

    /** A request of which nothing has arrived for this long is stalled. */
    static final long STALLED_NANOS = Duration.ofSeconds(1).toNanos();

    private RequestAdmissionPolicy() {}

    /**
     * Decides about more bytes of one request.
     *
     * @param others        all other holders
     * @param bytesAfter    bytes of the request if they are taken
     * @param responseBytes bytes of all responses
     * @param budgetBytes   size of the budget
     * @return the requests to reject, in order, normally none; empty if the bytes can't be taken
     */
    static Optional<List<HeldRequest>> admit(
            List<HeldRequest> others, long bytesAfter, long responseBytes, long budgetBytes) {
        boolean large = bytesAfter > HeldMemory.LARGE_REQUEST_BYTES;
        long all = others.stream().mapToLong(HeldRequest::bytes).sum();
        long small = others.stream()
                .filter(r -> !r.isLarge())
                .mapToLong(HeldRequest::bytes)
                .sum();
        List<HeldRequest> rejected = new ArrayList<>();
        for (HeldRequest next : candidates(others, bytesAfter)) {
            if (fits(large, all, small, bytesAfter, responseBytes, budgetBytes)) {
                break;
            }
            rejected.add(next);
            all -= next.bytes();
            small -= next.isLarge() ? 0 : next.bytes();
        }
        return fits(large, all, small, bytesAfter, responseBytes, budgetBytes)
                ? Optional.of(rejected)
                : Optional.empty();
    }

    private static boolean fits(
            boolean large, long all, long small, long bytesAfter, long responseBytes, long budgetBytes) {
        if (large) {
            double limit = Math.min(LARGE_SHARE * budgetBytes, budgetBytes - responseBytes);
            return all + bytesAfter <= limit || all + responseBytes <= OTHERS_SHARE * budgetBytes;
        }
        return all + bytesAfter <= TOTAL_SHARE * budgetBytes || small + bytesAfter <= SMALL_SHARE * budgetBytes;
    }

    /** Stalled requests first, then the largest; a request never displaces one that is sending and holds less. */
    private static List<HeldRequest> candidates(List<HeldRequest> others, long bytesAfter) {
        return others.stream()
                .filter(HeldRequest::arriving)
                .filter(r -> r.bytes() > 0)
                .filter(r -> isStalled(r) || r.bytes() > bytesAfter)
                .sorted(Comparator.comparing(RequestAdmissionPolicy::isStalled)
                        .thenComparing(HeldRequest::bytes)
                        .reversed())
                .toList();
    }

    private static boolean isStalled(HeldRequest request) {
        return request.stalledNanos() >= STALLED_NANOS;
    }
}
