package org.copperspindle.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.copperspindle.control.ApplyOutcome;
import org.copperspindle.membership.VirtualDeployment.SimulatedProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random schedules of concurrent operators who resend, partitions, leader changes, restarts and drifting clocks, with
 * the invariants checked after each step.
 */
class ConfigurationScheduleTest {

    private static final int STEPS = 400;
    private static final int ENTRIES = 6;
    private static final Duration LONG_WAIT = Duration.ofMinutes(2);

    private final Map<String, ApplyOutcome> definite = new HashMap<>();
    private final List<Change> sent = new ArrayList<>();
    private final Map<SimulatedProcess, Long> highest = new HashMap<>();
    private VirtualDeployment deployment;
    private SplittableRandom random;
    private long accepted;

    /**
     * Invariants: every serving member serves at least the version that an operator was last told is accepted; no
     * member goes back to an older version; a change id gets one definite answer however often and to whichever member
     * it is resent; two operators never both succeed from one base version. When all faults are over, every entry
     * serves the newest version.
     */
    @Property(seed = "20261202", tries = 40)
    void acceptedVersionIsInForceUnderRandomFaults(@ForAll long seed) {
        random = new SplittableRandom(seed);
        deployment = new VirtualDeployment(3);
        definite.clear();
        sent.clear();
        highest.clear();
        accepted = 0;
        for (int i = 0; i < ENTRIES; i++) {
            start(i, 1);
        }
        for (int step = 0; step < STEPS; step++) {
            injectFault(step);
            deployment.time.advance(random.nextLong(Duration.ofMillis(400).toNanos()));
            check();
        }
        deployment.isolated.clear();
        deployment.advance(Duration.ofSeconds(20));
        check();
        long newest = deployment.leader().state.config().version();
        assertThat(newest).isPositive();
        assertThat(deployment.members.values())
                .allMatch(SimulatedProcess::serves)
                .allMatch(m -> m.version == newest);
        assertOneWinnerForEachBase();
    }

    private void injectFault(int step) {
        int kind = random.nextInt(12);
        String entry = "entry-" + random.nextInt(ENTRIES);
        if (kind < 3) {
            send(new Change("c" + step, deployment.leader().state.config().version(), "text " + step));
            send(new Change("d" + step, deployment.leader().state.config().version(), "other " + step));
        } else if (kind < 5 && !sent.isEmpty()) {
            send(sent.get(random.nextInt(sent.size())));
        } else if (kind < 7) {
            deployment.isolated.add(entry);
        } else if (kind < 9) {
            deployment.isolated.clear();
        } else if (kind == 9) {
            deployment.lead(random.nextInt(3));
        } else if (kind == 10) {
            deployment.members.get(entry).kill();
            start(Integer.parseInt(entry.substring(6)), step + 2L);
        } else {
            deployment.isolated.add("control-" + random.nextInt(3));
        }
    }

    private void start(int number, long incarnation) {
        double rate = 1 + (random.nextDouble() - 0.5) * 0.01;
        deployment.member("entry-" + number, incarnation, rate, Optional.empty());
    }

    private void send(Change change) {
        if (!sent.contains(change)) {
            sent.add(change);
        }
        int control = random.nextInt(4) == 0 ? random.nextInt(3) : deployment.controls.indexOf(deployment.leader());
        List<ApplyOutcome> outcomes = deployment.apply(control, change.id, change.base, change.text, LONG_WAIT);
        change.answers.add(outcomes);
    }

    private void check() {
        for (Change change : sent) {
            change.answers.forEach(answers -> answers.forEach(answer -> recordAnswer(change, answer)));
        }
        for (SimulatedProcess member : deployment.members.values()) {
            assertThat(member.version).isGreaterThanOrEqualTo(highest.getOrDefault(member, 0L));
            highest.put(member, member.version);
            if (member.serves()) {
                assertThat(member.version).as(member.id).isGreaterThanOrEqualTo(accepted);
            }
        }
    }

    private void recordAnswer(Change change, ApplyOutcome answer) {
        if (answer instanceof ApplyOutcome.Unknown || answer instanceof ApplyOutcome.NotTaken) {
            return;
        }
        ApplyOutcome before = definite.putIfAbsent(change.id, answer);
        assertThat(answer).isEqualTo(before == null ? answer : before);
        if (answer instanceof ApplyOutcome.Accepted version) {
            accepted = Math.max(accepted, version.version());
        }
    }

    private void assertOneWinnerForEachBase() {
        Predicate<Change> won = c -> definite.get(c.id) instanceof ApplyOutcome.Accepted;
        Map<Long, String> winners = new HashMap<>();
        sent.stream()
                .filter(won)
                .forEach(c -> assertThat(winners.merge(c.base, c.id, (a, b) -> a.equals(b) ? a : "two"))
                        .isNotEqualTo("two"));
    }

    private record Change(String id, long base, String text, List<List<ApplyOutcome>> answers) {
        private Change(String id, long base, String text) {
            this(id, base, text, new ArrayList<>());
        }
    }
}
