package org.copperspindle.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Which control member to try next, and when. Safeguard: after the leader or a failure domain is lost, thousands of
 * members look for the new leader at once; in step, they would fill its queue again and again and lose their leases in
 * waves. Each starts at a random member and waits a random time that grows with each failure, but stays well below a
 * lease.
 */
final class ControlCandidates {

    private static final long FIRST_WAIT_NANOS = Duration.ofMillis(100).toNanos();
    private static final long LONGEST_WAIT_NANOS = Duration.ofSeconds(1).toNanos();
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
        InetSocketAddress target = hint.orElseGet(this::nextInTurn);
        hint = Optional.empty();
        last = Optional.of(target);
        return target;
    }

    /** Passes over the member that was tried last: it has just failed, and a dead one costs a whole timeout. */
    private InetSocketAddress nextInTurn() {
        InetSocketAddress target = controls.get(next++ % controls.size());
        boolean again = last.isPresent() && last.get().equals(target) && controls.size() > 1;
        return again ? controls.get(next++ % controls.size()) : target;
    }

    long nextWaitNanos() {
        long longest = Math.min(LONGEST_WAIT_NANOS, FIRST_WAIT_NANOS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return random.nextLong(longest / 4, longest + 1);
    }

    /** Spreads renewals evenly, so that members started together don't renew together for ever. */
    long spread(long intervalNanos) {
        return intervalNanos - random.nextLong(intervalNanos / 5 + 1);
    }

    void succeeded() {
        failures = 0;
    }

    /**
     * Notes the leader that a control member named.
     *
     * @param address IP:PORT, empty if it knows none
     */
    void leaderIs(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return;
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            hint = Optional.of(new InetSocketAddress(address.substring(0, colon), port));
            // Control is reached again; a leader named in error costs a timeout, which spreads retries by itself.
            failures = 0;
        } catch (IllegalArgumentException e) {
            hint = Optional.empty();
        }
    }
}
