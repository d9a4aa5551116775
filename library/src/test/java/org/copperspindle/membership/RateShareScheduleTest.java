package org.copperspindle.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.copperspindle.membership.VirtualDeployment.SimulatedProcess;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random schedules of entries that join, leave, crash or become isolated, of leader changes and of delayed messages,
 * with drifting clocks. The sum of the shares in use is checked every 10 ms.
 */
class RateShareScheduleTest {

    private static final int STEPS = 250;
    private static final int MAX_ENTRIES = 7;
    private static final long CHECK_NANOS = Duration.ofMillis(10).toNanos();

    private final Set<SimulatedProcess> leaving = new HashSet<>();
    private VirtualDeployment deployment;
    private SplittableRandom random;
    private int entries;

    /**
     * Summed over all entries, a client account gets at most its rate. Shares are raised while other entries still use
     * their old ones, hold grants that were lost or delayed, or received them from an earlier leader. When all faults
     * are over, every entry has an equal share.
     */
    @Property(seed = "20261203", tries = 40)
    void sharesInUseNeverExceedTheWholeRate(@ForAll long seed) {
        random = new SplittableRandom(seed);
        deployment = new VirtualDeployment(3);
        leaving.clear();
        join();
        for (int step = 0; step < STEPS; step++) {
            injectFault(step);
            run(random.nextLong(Duration.ofMillis(600).toNanos()));
        }
        deployment.isolated.clear();
        run(Duration.ofSeconds(25).toNanos());
        long alive = alive();
        assertThat(deployment.members.values().stream().filter(this::isInUse))
                .allMatch(m -> m.link.rateShare() == LeaseGrantMessage.WHOLE_RATE / alive);
    }

    /**
     * A second entry joins one that uses the whole rate. It must get nothing until the first one has reported the
     * smaller share: here the first one is isolated at that moment, so that only the end of its lease frees anything.
     */
    @Test
    void joiningEntryWaitsForTheLeaseOfAnIsolatedEntry() {
        random = new SplittableRandom(1);
        deployment = new VirtualDeployment(1);
        SimulatedProcess first = deployment.entry("entry-1");
        run(Duration.ofSeconds(10).toNanos());
        assertThat(first.link.rateShare()).isEqualTo(LeaseGrantMessage.WHOLE_RATE);

        deployment.isolated.add("entry-1");
        SimulatedProcess second = deployment.entry("entry-2");
        while (first.link.rateShare() > 0) {
            assertThat(second.link.rateShare()).isZero();
            run(CHECK_NANOS);
        }
        run(Duration.ofSeconds(3).toNanos());
        assertThat(second.link.rateShare()).isEqualTo(LeaseGrantMessage.WHOLE_RATE);

        deployment.isolated.clear();
        run(Duration.ofSeconds(10).toNanos());
        assertThat(first.link.rateShare()).isEqualTo(LeaseGrantMessage.WHOLE_RATE / 2);
        assertThat(second.link.rateShare()).isEqualTo(LeaseGrantMessage.WHOLE_RATE / 2);
    }

    private void injectFault(int step) {
        int kind = random.nextInt(14);
        if (kind < 3 && alive() < MAX_ENTRIES) {
            join();
        } else if (kind == 3) {
            randomUser().ifPresent(SimulatedProcess::kill);
        } else if (kind == 4) {
            randomUser().ifPresent(this::leave);
        } else if (kind < 8) {
            randomUser().ifPresent(m -> deployment.isolated.add(m.id));
        } else if (kind < 10) {
            deployment.isolated.clear();
        } else if (kind == 10) {
            deployment.lead(random.nextInt(3));
        } else if (kind == 11) {
            deployment.isolated.add("control-" + random.nextInt(3));
        } else if (kind == 12) {
            long base = deployment.leader().state.config().version();
            deployment.apply(
                    deployment.controls.indexOf(deployment.leader()),
                    "c" + step,
                    base,
                    "t" + step,
                    Duration.ofMinutes(1));
        }
    }

    private void join() {
        double rate = 1 + (random.nextDouble() - 0.5) * 0.01;
        deployment.member("entry-" + ++entries, 1, rate, Optional.empty());
    }

    /** Leaves as an entry does: it stops serving, returns the lease, then stops. */
    private void leave(SimulatedProcess member) {
        leaving.add(member);
        member.link.send(new LeaseRequestMessage(member.version, member.revision, new byte[0], true));
        member.link.stop();
    }

    private Optional<SimulatedProcess> randomUser() {
        SimulatedProcess[] users =
                deployment.members.values().stream().filter(this::isInUse).toArray(SimulatedProcess[]::new);
        return users.length == 0 ? Optional.empty() : Optional.of(users[random.nextInt(users.length)]);
    }

    private boolean isInUse(SimulatedProcess member) {
        return !member.killed && !leaving.contains(member);
    }

    private long alive() {
        return deployment.members.values().stream().filter(this::isInUse).count();
    }

    private void run(long nanos) {
        for (long remaining = nanos; remaining > 0; remaining -= CHECK_NANOS) {
            deployment.time.advance(Math.min(remaining, CHECK_NANOS));
            long sum = deployment.members.values().stream()
                    .filter(this::isInUse)
                    .mapToLong(m -> m.link.rateShare())
                    .sum();
            assertThat(sum).isLessThanOrEqualTo(LeaseGrantMessage.WHOLE_RATE);
        }
    }
}
