package org.copperspindle.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.control.ApplyOutcome;
import org.copperspindle.membership.VirtualDeployment.StandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What it costs that a lease gates service: how long entries that are cut off from control go on, and how soon they are
 * back. In virtual time.
 */
class CutOffCostTest {

    private static final Duration STEP = Duration.ofMillis(10);

    /**
     * An entry, then a third of the entries, is cut off from control while a change is applied each ten seconds. Those
     * entries go on for the rest of their lease and then refuse; no change waits longer than a lease; healed, all are
     * back under the newest version within two and a half seconds.
     */
    @ParameterizedTest
    @CsvSource({"1, 60", "280, 600"})
    void cutOffEntriesStopWithinALeaseAndComeBackAtOnce(int cut, int seconds) {
        VirtualDeployment deployment = new VirtualDeployment(3);
        deployment.advance(Duration.ofSeconds(6));
        deployment.apply(0, "c0", 0, "first", Duration.ofMinutes(1));
        for (int i = 0; i < 840; i++) {
            deployment.entry("entry-" + i);
        }
        deployment.advance(Duration.ofSeconds(8));
        List<StandIn> lost = new ArrayList<>(deployment.members.values()).subList(0, cut);
        lost.forEach(m -> deployment.cutOff.add(m.id));

        long servedMillis = 0;
        long slowestMillis = 0;
        for (int change = 1; change <= seconds / 10; change++) {
            List<ApplyOutcome> told =
                    deployment.apply(0, "c" + change, change, "text " + change, Duration.ofMinutes(1));
            for (int millis = 0; millis < 10_000; millis += STEP.toMillis()) {
                deployment.advance(STEP);
                if (told.isEmpty()) {
                    slowestMillis = Math.max(slowestMillis, millis);
                }
                if (change == 1) {
                    servedMillis += STEP.toMillis()
                            * lost.stream().filter(StandIn::serves).count();
                }
            }
            assertThat(told).containsExactly(new ApplyOutcome.Accepted(change + 1));
        }
        assertThat(lost).noneMatch(StandIn::serves);
        deployment.cutOff.clear();
        long backMillis = 0;
        while (!lost.stream().allMatch(StandIn::serves)) {
            deployment.advance(STEP);
            backMillis += STEP.toMillis();
        }
        System.out.println(
                "CUT " + cut + " served " + servedMillis / cut + " slowest " + slowestMillis + " back " + backMillis);

        assertThat(servedMillis / cut).isBetween(3900L, 5000L);
        assertThat(slowestMillis).isLessThan(5500L);
        assertThat(backMillis).isLessThan(2500L);
        assertThat(lost).allMatch(m -> m.version == seconds / 10 + 1);
    }
}
