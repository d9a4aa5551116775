package org.copperspindle.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.copperspindle.membership.VirtualDeployment.StandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random schedules of entries that join, leave, die or are cut off, of leader changes and of messages that arrive late,
 * with drifting clocks. The sum of the shares in use is checked every 10 ms.
 */
class RateShareScheduleTest {

    private static final int STEPS = 250;
    private static final int MAX_ENTRIES = 7;
    private static final long SLICE_NANOS = Duration.ofMillis(10).toNanos();

    private final Set<StandIn> leaving = new HashSet<>();
    private VirtualDeployment deployment;
    private SplittableRandom random;
    private int lives;

    /**
     * The caller of a client account gets, summed over all entries, at most the account's rate. Shares are raised while
     * other entries still use their old ones, hold grants that were lost or late, or were told them by an earlier
     * leader. When all is healed, every entry has an equal part.
     */
    @Property(seed = "20261203", tries = 40)
    void sharesInUseNeverExceedTheWhole(@ForAll long seed) {
        random = new SplittableRandom(seed);
        deployment = new VirtualDeployment(3);
        leaving.clear();
        join();
        for (int step = 0; step < STEPS; step++) {
            disturb(step);
            run(random.nextLong(Duration.ofMillis(600).toNanos()));
        }
        deployment.cutOff.clear();
        run(Duration.ofSeconds(25).toNanos());
        long alive = alive();
        assertThat(deployment.members.values().stream().filter(this::uses))
                .allMatch(m -> m.link.rateShare() == LeaseGrantMessage.WHOLE_RATE / alive);
    }

    /**
     * A second entry joins one that uses the whole. It gets nothing until the first one has reported the smaller share:
     * here the first is cut off in that moment, so that only the end of its lease frees anything.
     */
    @Test
    void joiningEntryWaitsForTheLeaseOfOneThatCannotConfirm() {
        random = new SplittableRandom(1);
        deployment = new VirtualDeployment(1);
        StandIn first = deployment.entry("entry-1");
        run(Duration.ofSeconds(10).toNanos());
        assertThat(first.link.rateShare()).isEqualTo(LeaseGrantMessage.WHOLE_RATE);

        deployment.cutOff.add("entry-1");
        StandIn second = deployment.entry("entry-2");
        while (first.link.rateShare() > 0) {
            assertThat(second.link.rateShare()).isZero();
            run(SLICE_NANOS);
        }
        run(Duration.ofSeconds(3).toNanos());
        assertThat(second.link.rateShare()).isEqualTo(LeaseGrantMessage.WHOLE_RATE);

        deployment.cutOff.clear();
        run(Duration.ofSeconds(10).toNanos());
        assertThat(first.link.rateShare()).isEqualTo(LeaseGrantMessage.WHOLE_RATE / 2);
        assertThat(second.link.rateShare()).isEqualTo(LeaseGrantMessage.WHOLE_RATE / 2);
    }

    private void disturb(int step) {
        int kind = random.nextInt(14);
        if (kind < 3 && alive() < MAX_ENTRIES) {
            join();
        } else if (kind == 3) {
            pick().ifPresent(StandIn::kill);
        } else if (kind == 4) {
            pick().ifPresent(this::leave);
        } else if (kind < 8) {
            pick().ifPresent(m -> deployment.cutOff.add(m.id));
        } else if (kind < 10) {
            deployment.cutOff.clear();
        } else if (kind == 10) {
            deployment.lead(random.nextInt(3));
        } else if (kind == 11) {
            deployment.cutOff.add("control-" + random.nextInt(3));
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
        deployment.member("entry-" + ++lives, 1, rate, Optional.empty());
    }

    /** As an entry does: it refuses first, then gives the lease back, then ends. */
    private void leave(StandIn member) {
        leaving.add(member);
        member.link.send(new LeaseRequestMessage(member.version, member.revision, new byte[0], true));
        member.link.stop();
    }

    private Optional<StandIn> pick() {
        StandIn[] users =
                deployment.members.values().stream().filter(this::uses).toArray(StandIn[]::new);
        return users.length == 0 ? Optional.empty() : Optional.of(users[random.nextInt(users.length)]);
    }

    private boolean uses(StandIn member) {
        return !member.dead && !leaving.contains(member);
    }

    private long alive() {
        return deployment.members.values().stream().filter(this::uses).count();
    }

    private void run(long nanos) {
        for (long left = nanos; left > 0; left -= SLICE_NANOS) {
            deployment.time.advance(Math.min(left, SLICE_NANOS));
            long sum = deployment.members.values().stream()
                    .filter(this::uses)
                    .mapToLong(m -> m.link.rateShare())
                    .sum();
            assertThat(sum).isLessThanOrEqualTo(LeaseGrantMessage.WHOLE_RATE);
        }
    }
}
