package org.copperspindle.membership;

import java.time.Duration;
import java.util.List;

import org.copperspindle.control.ApplyOutcome;
import org.copperspindle.membership.VirtualDeployment.SimulatedProcess;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Once an operator is told that a change is accepted, no member serves an older version any more. In virtual time.
 */
class ConfigurationInForceTest {

    private static final Duration WAIT = Duration.ofSeconds(30);
    private static final Duration SHORT_TIME = Duration.ofMillis(100);

    private final VirtualDeployment deployment = new VirtualDeployment(3);

    @BeforeEach
    void applyFirstVersion() {
        deployment.advance(Duration.ofSeconds(6));
        assertThat(deployment.apply(0, "c1", 0, "one", WAIT)).isEmpty();
        deployment.advance(SHORT_TIME);
    }

    /**
     * An entry becomes isolated without notice while a change is applied. The operator must wait until the entry's
     * lease has expired by the entry's own, slower clock, and only then be told that the change is accepted. The entry
     * serves nothing from then on, and comes back under the new version only.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.995, 1.0, 1.005})
    void changeWaitsForTheLeaseOfAnIsolatedEntry(double clockRate) {
        deployment.entry("entry-1");
        SimulatedProcess isolatedEntry = deployment.member("entry-2", 1, clockRate, java.util.Optional.empty());
        deployment.advance(Duration.ofSeconds(3));
        deployment.isolated.add("entry-2");

        List<ApplyOutcome> outcomes = deployment.apply(0, "c2", 1, "two", WAIT);
        while (outcomes.isEmpty()) {
            deployment.advance(Duration.ofMillis(10));
        }
        assertThat(outcomes).containsExactly(new ApplyOutcome.Accepted(2));
        assertThat(isolatedEntry.serves()).isFalse();
        assertThat(isolatedEntry.version).isEqualTo(1);

        deployment.isolated.clear();
        deployment.advance(Duration.ofSeconds(6));
        assertThat(isolatedEntry.serves()).isTrue();
        assertThat(isolatedEntry.text).isEqualTo("two");
    }

    /**
     * An entry or agent receives a version and doesn't put it in force, as an older build might. Its renewals must not
     * extend its lease, or the change would never complete and the member would serve the old version forever.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void memberThatStaysBehindLosesLease(boolean agent) {
        SimulatedProcess behind = agent ? deployment.agent("u1", 10) : deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        behind.stuck = true;

        List<ApplyOutcome> outcomes = deployment.apply(0, "c2", 1, "two", WAIT);
        deployment.advance(Duration.ofMillis(500));
        assertThat(outcomes).isEmpty();
        deployment.advance(Duration.ofSeconds(6));

        assertThat(outcomes).containsExactly(new ApplyOutcome.Accepted(2));
        assertThat(behind.serves()).isFalse();
        assertThat(deployment.leader().state.upstreams().all()).isEmpty();
    }

    /**
     * The leader is lost between commit and in force, and an entry becomes isolated. The first operator is told
     * "unknown" and resends to the new leader, which knows no leases: it must wait until those of the old leader have
     * expired, under one of which the entry still serves the old version, before it reports the change as accepted.
     */
    @Test
    void newLeaderWaitsForLeasesOfTheOldOne() {
        SimulatedProcess isolatedEntry = deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        deployment.isolated.add("entry-1");
        List<ApplyOutcome> first = deployment.apply(0, "c2", 1, "two", WAIT);
        deployment.advance(SHORT_TIME);

        deployment.lead(1);
        List<ApplyOutcome> second = deployment.apply(1, "c2", 1, "two", WAIT);
        deployment.advance(Duration.ofSeconds(1));
        assertThat(first).singleElement().isInstanceOf(ApplyOutcome.Unknown.class);
        assertThat(isolatedEntry.serves()).isTrue();
        while (second.isEmpty()) {
            deployment.advance(Duration.ofMillis(10));
        }

        assertThat(second).containsExactly(new ApplyOutcome.Accepted(2));
        assertThat(isolatedEntry.serves()).isFalse();
    }

    /**
     * The response is lost with the leader while the change is being committed. Resent through another member, it must
     * get the result of the one change that was made, even after a later change; nothing is made twice.
     */
    @Test
    void lostResponseIsRepeatedByAnotherMember() {
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
     * A process is paused during 500 changes. When it resumes it must serve nothing, although its timers did not run
     * and its lease looks held to them, until one update has brought it to the newest version.
     */
    @Test
    void processPausedFor500VersionsCatchesUpWithOneUpdate() {
        SimulatedProcess paused = deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        long updates = paused.configUpdates;
        deployment.isolated.add("entry-1");
        for (int v = 1; v <= 500; v++) {
            deployment.apply(0, "s" + v, v, "text " + v, WAIT);
            deployment.advance(Duration.ofMillis(20));
        }
        assertThat(paused.serves()).isFalse();

        deployment.isolated.clear();
        while (!paused.serves()) {
            deployment.advance(Duration.ofMillis(1));
        }
        assertThat(paused.version).isEqualTo(501);
        assertThat(paused.text).isEqualTo("text 500");
        assertThat(paused.configUpdates - updates).isEqualTo(1);
    }

    /**
     * The operator's timeout expires before the lease of an isolated entry. The answer must be "unknown", with the
     * entry and its remaining lease time.
     */
    @Test
    void outcomeNamesTheMembersItWaitsFor() {
        deployment.entry("entry-7");
        deployment.advance(Duration.ofSeconds(3));
        deployment.isolated.add("entry-7");
        List<ApplyOutcome> outcomes = deployment.apply(0, "c2", 1, "two", Duration.ofSeconds(1));
        deployment.advance(Duration.ofSeconds(2));

        assertThat(outcomes).singleElement().isInstanceOfSatisfying(ApplyOutcome.Unknown.class, unknown -> {
            assertThat(unknown.version()).isEqualTo(2);
            assertThat(unknown.reason()).contains("entry-7 (version 1, lease ends in");
        });
    }

    /**
     * The control leader becomes unreachable without closing its connections: entries must find the new one and keep
     * their leases.
     */
    @Test
    void entriesKeepTheirLeasesWhenTheLeaderBecomesUnreachable() {
        SimulatedProcess entry = deployment.entry("entry-1");
        deployment.advance(Duration.ofSeconds(3));
        deployment.isolated.add("control-0");
        deployment.lead(1);

        for (int i = 0; i < 1000; i++) {
            deployment.advance(Duration.ofMillis(10));
            assertThat(entry.serves()).as("after %d ms", i * 10).isTrue();
        }
    }
}
