package org.copperspindle.membership;

import java.time.Duration;
import java.util.List;

import org.copperspindle.control.ApplyOutcome;
import org.copperspindle.membership.VirtualDeployment.StandIn;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An operator who hears "accepted" may rely on it: nothing serves an older version any more. In virtual time.
 */
class ConfigurationInForceTest {

    private static final Duration WAIT = Duration.ofSeconds(30);
    private static final Duration MOMENT = Duration.ofMillis(100);

    private final VirtualDeployment deployment = new VirtualDeployment(3);

    @BeforeEach
    void applyFirstVersion() {
        deployment.advance(Duration.ofSeconds(6));
        assertThat(deployment.apply(0, "c1", 0, "one", WAIT)).isEmpty();
        deployment.advance(MOMENT);
    }

    /**
     * An entry is cut off without a word while a change is applied. The operator waits until the entry's lease has run
     * out by its own, slower clock, and only then hears that the change is accepted; the entry serves nothing from then
     * on, and comes back under the new version alone.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.995, 1.0, 1.005})
    void changeWaitsForTheLeaseOfACutOffEntry(double clockRate) {
        deployment.entry("entry-1");
        StandIn cut = deployment.member("entry-2", 1, clockRate, java.util.Optional.empty());
        deployment.advance(Duration.ofSeconds(3));
        deployment.cutOff.add("entry-2");

        List<ApplyOutcome> told = deployment.apply(0, "c2", 1, "two", WAIT);
        while (told.isEmpty()) {
            deployment.advance(Duration.ofMillis(10));
        }
        assertThat(told).containsExactly(new ApplyOutcome.Accepted(2));
        assertThat(cut.serves()).isFalse();
        assertThat(cut.version).isEqualTo(1);

        deployment.cutOff.clear();
        deployment.advance(Duration.ofSeconds(6));
        assertThat(cut.serves()).isTrue();
        assertThat(cut.text).isEqualTo("two");
    }

    /**
     * An entry hears of a version and does not put it in force, as an older build might. Its renewals must not prolong
     * its lease, or the change would never end and the entry would serve the old version for ever.
     */
    @Test
    void entryThatStaysBehindLosesItsLease() {
        StandIn behind = deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        behind.stuck = true;

        List<ApplyOutcome> told = deployment.apply(0, "c2", 1, "two", WAIT);
        deployment.advance(Duration.ofMillis(500));
        assertThat(told).isEmpty();
        deployment.advance(Duration.ofSeconds(6));

        assertThat(told).containsExactly(new ApplyOutcome.Accepted(2));
        assertThat(behind.serves()).isFalse();
    }

    /**
     * The leader is lost between commit and in force, together with an entry's connection. The first operator hears
     * "unknown" and resends to the new leader, which knows no leases: it must wait out those of the old leader, under
     * one of which the entry still serves the old version, before it says that the change is accepted.
     */
    @Test
    void newLeaderWaitsOutTheLeasesOfTheOldOne() {
        StandIn cut = deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        deployment.cutOff.add("entry-1");
        List<ApplyOutcome> first = deployment.apply(0, "c2", 1, "two", WAIT);
        deployment.advance(MOMENT);

        deployment.lead(1);
        List<ApplyOutcome> second = deployment.apply(1, "c2", 1, "two", WAIT);
        deployment.advance(Duration.ofSeconds(1));
        assertThat(first).singleElement().isInstanceOf(ApplyOutcome.Unknown.class);
        assertThat(cut.serves()).isTrue();
        while (second.isEmpty()) {
            deployment.advance(Duration.ofMillis(10));
        }

        assertThat(second).containsExactly(new ApplyOutcome.Accepted(2));
        assertThat(cut.serves()).isFalse();
    }

    /**
     * The answer is lost with the leader while the change is being committed. Resent through another member it gets the
     * answer of the one change that was made, also after a later change; nothing is made twice.
     */
    @Test
    void lostAnswerIsGivenAgainByAnotherMember() {
        deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        List<ApplyOutcome> lost = deployment.apply(0, "c2", 1, "two", WAIT);
        deployment.lead(2);
        deployment.advance(Duration.ofSeconds(8));
        List<ApplyOutcome> later = deployment.apply(2, "c3", 2, "three", WAIT);
        List<ApplyOutcome> follower = deployment.apply(1, "c2", 1, "two", WAIT);
        List<ApplyOutcome> resent = deployment.apply(2, "c2", 1, "two", WAIT);
        List<ApplyOutcome> other = deployment.apply(2, "c2", 1, "not two", WAIT);
        deployment.advance(Duration.ofSeconds(2));

        assertThat(lost).singleElement().isInstanceOf(ApplyOutcome.Unknown.class);
        assertThat(follower).containsExactly(new ApplyOutcome.NotTaken("127.0.0.1:9002"));
        assertThat(resent).containsExactly(new ApplyOutcome.Accepted(2));
        assertThat(later).containsExactly(new ApplyOutcome.Accepted(3));
        assertThat(other).singleElement().isInstanceOf(ApplyOutcome.Refused.class);
        assertThat(deployment.leader().state.config().version()).isEqualTo(3);
    }

    /**
     * A process sleeps through 500 changes and wakes. It serves nothing, although its timers did not run and its lease
     * looks held to them, until one update has brought it to the newest version.
     */
    @Test
    void processThatSleptThrough500VersionsCatchesUpByOneUpdate() {
        StandIn sleeper = deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        long updates = sleeper.configUpdates;
        deployment.cutOff.add("entry-1");
        for (int v = 1; v <= 500; v++) {
            deployment.apply(0, "s" + v, v, "text " + v, WAIT);
            deployment.advance(Duration.ofMillis(20));
        }
        assertThat(sleeper.serves()).isFalse();

        deployment.cutOff.clear();
        while (!sleeper.serves()) {
            deployment.advance(Duration.ofMillis(1));
        }
        assertThat(sleeper.version).isEqualTo(501);
        assertThat(sleeper.text).isEqualTo("text 500");
        assertThat(sleeper.configUpdates - updates).isEqualTo(1);
    }

    /**
     * The operator's time is over before a cut-off entry's lease is. The answer is "unknown" and names the entry and
     * the time left, rather than a guess.
     */
    @Test
    void answerNamesWhatItWaitsFor() {
        deployment.entry("entry-7");
        deployment.advance(Duration.ofSeconds(3));
        deployment.cutOff.add("entry-7");
        List<ApplyOutcome> told = deployment.apply(0, "c2", 1, "two", Duration.ofSeconds(1));
        deployment.advance(Duration.ofSeconds(2));

        assertThat(told).singleElement().isInstanceOfSatisfying(ApplyOutcome.Unknown.class, unknown -> {
            assertThat(unknown.version()).isEqualTo(2);
            assertThat(unknown.reason()).contains("entry-7 (version 1, lease ends in");
        });
    }

    /** The control leader goes silent without closing a connection: entries find the new one and keep their leases. */
    @Test
    void entriesKeepTheirLeasesWhenTheLeaderGoesSilent() {
        StandIn entry = deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        deployment.cutOff.add("control-0");
        deployment.lead(1);

        for (int i = 0; i < 1000; i++) {
            deployment.advance(Duration.ofMillis(10));
            assertThat(entry.serves()).as("after %d ms", i * 10).isTrue();
        }
    }
}
