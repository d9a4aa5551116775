package org.copperspindle.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.control.ApplyOutcome;
import org.copperspindle.membership.VirtualDeployment.SimulatedProcess;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cost of serving only under a lease: how long entries that are isolated from control keep serving, and how soon they
 * are back. In virtual time.
 */
class IsolationCostTest {

    private static final Duration STEP = Duration.ofMillis(10);

    /**
     * One entry, then a third of the entries, is isolated from control while a change is applied every ten seconds.
     * Those entries keep serving for the rest of their lease and then refuse; no change waits longer than a lease;
     * after the partition all are back under the newest version within 2.5 seconds.
     */
    @ParameterizedTest
    @CsvSource({"1, 60", "280, 600"})
    void isolatedEntriesStopWithinALeaseAndComeBackAtOnce(int isolatedCount, int seconds) {
        VirtualDeployment deployment = new VirtualDeployment(3);
        deployment.advance(Duration.ofSeconds(6));
        deployment.apply(0, "c0", 0, "first", Duration.ofMinutes(1));
        for (int i = 0; i < 840; i++) {
            deployment.entry("entry-" + i);
        }
        deployment.advance(Duration.ofSeconds(8));
        List<SimulatedProcess> isolatedEntries = new ArrayList<>(deployment.members.values()).subList(0, isolatedCount);
        isolatedEntries.forEach(m -> deployment.isolated.add(m.id));

        long servedMillis = 0;
        long slowestMillis = 0;
        for (int change = 1; change <= seconds / 10; change++) {
            List<ApplyOutcome> outcomes =
                    deployment.apply(0, "c" + change, change, "text " + change, Duration.ofMinutes(1));
            for (int millis = 0; millis < 10_000; millis += STEP.toMillis()) {
                deployment.advance(STEP);
                if (outcomes.isEmpty()) {
                    slowestMillis = Math.max(slowestMillis, millis);
                }
                if (change == 1) {
                    servedMillis += STEP.toMillis()
                            * isolatedEntries.stream()
                                    .filter(SimulatedProcess::serves)
                                    .count();
                }
            }
            assertThat(outcomes).containsExactly(new ApplyOutcome.Accepted(change + 1));
        }
        assertThat(isolatedEntries).noneMatch(SimulatedProcess::serves);
        deployment.isolated.clear();
        long backMillis = 0;
        while (!isolatedEntries.stream().allMatch(SimulatedProcess::serves)) {
            deployment.advance(STEP);
            backMillis += STEP.toMillis();
        }
        System.out.println("CUT " + isolatedCount + " served " + servedMillis / isolatedCount + " slowest "
                + slowestMillis + " back " + backMillis);

        assertThat(servedMillis / isolatedCount).isBetween(3900L, 5000L);
        assertThat(slowestMillis).isLessThan(5500L);
        assertThat(backMillis).isLessThan(2500L);
        assertThat(isolatedEntries).allMatch(m -> m.version == seconds / 10 + 1);
    }
}
