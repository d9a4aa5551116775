package org.copperspindle.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects the control member to try next, and the backoff before each attempt. After the leader or a failure domain is
 * lost, thousands of members look for the new leader at once; without jitter they would fill its queue repeatedly and
 * lose their leases in waves. Each member therefore starts at a random control member and waits a random time that
 * grows with each failure, but stays well below a lease.
 */
final class ControlCandidates {

    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_DOUBLINGS = 4;

    private final List<InetSocketAddress> controls;
    private final RandomGenerator random;
    private Optional<InetSocketAddress> hint = Optional.empty();
    private Optional<InetSocketAddress> last = Optional.empty();
    private int next;
    private int failures;

    ControlCandidates(List<InetSocketAddress> controls, RandomGenerator random) {
        this.controls = List.copyOf(controls);
        this.random = random;
        this.next = controls.isEmpty() ? 0 : random.nextInt(controls.size());
    }

    InetSocketAddress next() {
        InetSocketAddress target = hint.orElseGet(this::nextInRotation);
        hint = Optional.empty();
        last = Optional.of(target);
        return target;
    }

    /** Skips the member that was tried last: it has just failed, and a dead one costs a full timeout. */
    private InetSocketAddress nextInRotation() {
        InetSocketAddress target = controls.get(next++ % controls.size());
        boolean repeated = last.isPresent() && last.get().equals(target) && controls.size() > 1;
        return repeated ? controls.get(next++ % controls.size()) : target;
    }

    long nextBackoffNanos() {
        long backoff = Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return random.nextLong(backoff / 4, backoff + 1);
    }

    /**
     * Subtracts a random part of up to a fifth, so that members started at the same time don't keep renewing at the
     * same time.
     */
    long withJitter(long intervalNanos) {
        return intervalNanos - random.nextLong(intervalNanos / 5 + 1);
    }

    void succeeded() {
        failures = 0;
    }

    /**
     * Records the leader that a control member reported.
     *
     * @param address IP:PORT, empty if that member knows none
     */
    void setLeader(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return;
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            hint = Optional.of(new InetSocketAddress(address.substring(0, colon), port));
            // Control was reached, so the backoff starts over; a wrong leader address costs a timeout, which spreads
            // the retries anyway.
            failures = 0;
        } catch (IllegalArgumentException e) {
            hint = Optional.empty();
        }
    }
}
