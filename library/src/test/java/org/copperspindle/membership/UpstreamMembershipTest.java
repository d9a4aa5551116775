package org.copperspindle.membership;

import java.time.Duration;

import org.copperspindle.membership.VirtualDeployment.StandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Who is a member: leases of agents, lives in the wrong order, and what entries hear of it. In virtual time.
 */
class UpstreamMembershipTest {

    private final VirtualDeployment deployment = new VirtualDeployment(3);

    /** An agent is lost without a word. Its upstream goes once its lease has run out, and entries hear of it. */
    @Test
    void upstreamGoesWithItsLease() {
        StandIn entry = deployment.entry("entry-1");
        deployment.agent("u1", 10);
        deployment.advance(Duration.ofSeconds(3));
        assertThat(entry.upstreams).containsExactly("u1");

        deployment.cutOff.add("u1");
        deployment.advance(Duration.ofSeconds(3));
        assertThat(entry.upstreams).containsExactly("u1");
        deployment.advance(Duration.ofSeconds(3));
        assertThat(entry.upstreams).isEmpty();

        deployment.cutOff.clear();
        deployment.advance(Duration.ofSeconds(3));
        assertThat(entry.upstreams).containsExactly("u1");
    }

    /**
     * An agent dies together with the leader. The new leader has never heard of it, so that no lease of its own runs
     * out; it must remove the upstream all the same, and must not remove those whose agents are still on the way to it.
     */
    @Test
    void newLeaderRemovesUpstreamsThatNeverCome() {
        StandIn entry = deployment.entry("entry-1");
        StandIn lost = deployment.agent("u1", 10);
        deployment.agent("u2", 10);
        deployment.advance(Duration.ofSeconds(3));
        lost.kill();
        deployment.lead(1);

        for (int i = 0; i < 80; i++) {
            deployment.advance(Duration.ofMillis(100));
            assertThat(entry.upstreams).contains("u2");
        }
        assertThat(entry.upstreams).containsExactly("u2");
    }

    /**
     * A VM restarts with its clock set back, so that the new life of the agent has a smaller number than the old one.
     * Control names the life that it knows, the new one takes a larger number, and its upstream is announced again.
     */
    @Test
    void restartWithTheClockSetBackGetsALargerIncarnation() {
        StandIn old = deployment.agent("u1", 1000);
        deployment.advance(Duration.ofSeconds(3));
        old.kill();
        StandIn restarted = deployment.agent("u1", 500);
        deployment.advance(Duration.ofSeconds(3));

        assertThat(restarted.incarnation).isEqualTo(1001);
        assertThat(restarted.link.isLeaseHeld()).isTrue();
        assertThat(announced("u1").incarnation()).isEqualTo(1001);
    }

    /**
     * A VM is replaced while the old one is cut off; then the old process wakes and announces its upstream as before.
     * It gets no lease and changes nothing, and does not push the new one out by taking a larger number.
     */
    @Test
    void oldLifeThatWakesChangesNothing() {
        StandIn old = deployment.agent("u1", 1000);
        deployment.advance(Duration.ofSeconds(3));
        deployment.cutOff.add("u1");
        deployment.advance(Duration.ofSeconds(8));
        deployment.cutOff.clear();
        StandIn fresh = deployment.agent("u1", 2000);
        deployment.advance(Duration.ofSeconds(10));

        assertThat(announced("u1").incarnation()).isEqualTo(2000);
        assertThat(fresh.link.isLeaseHeld()).isTrue();
        assertThat(old.link.isLeaseHeld()).isFalse();
        assertThat(old.incarnation).isEqualTo(1000);
    }

    /** An upstream starts to leave: every entry hears of it well within three seconds. */
    @Test
    void entriesHearOfALeavingUpstreamWithinThreeSeconds() {
        for (int i = 0; i < 20; i++) {
            deployment.entry("entry-" + i);
        }
        StandIn agent = deployment.agent("u1", 10);
        deployment.advance(Duration.ofSeconds(6));
        agent.draining = true;
        agent.sequence++;
        agent.link.renewNow();
        deployment.advance(Duration.ofMillis(100));

        assertThat(announced("u1").draining()).isTrue();
        long revision = deployment.leader().state.upstreams().revision();
        assertThat(deployment.members.values())
                .filteredOn(m -> m.pool.isEmpty())
                .allMatch(m -> m.revision == revision);
    }

    /**
     * The leader is lost at the design size: 840 entries and 4,300 agents look for the new one at once. Nobody loses a
     * lease, and in no tenth of a second do more messages travel than three times the usual.
     */
    @Test
    void rejoinOfTheWholeFleetIsSpreadAndKeepsEveryLease() {
        deployment.apply(0, "c1", 0, "one", Duration.ofSeconds(30));
        for (int i = 0; i < 840; i++) {
            deployment.entry("entry-" + i);
        }
        for (int i = 0; i < 4300; i++) {
            deployment.agent("u" + i, 10);
        }
        deployment.advance(Duration.ofSeconds(10));
        long usual = busiestTenth(10);
        deployment.lead(1);
        deployment.cutOff.add("control-0");
        long storm = busiestTenth(50);

        assertThat(storm).isLessThan(3 * usual);
    }

    private long busiestTenth(int tenths) {
        long busiest = 0;
        for (int i = 0; i < tenths; i++) {
            long before = deployment.messages;
            deployment.advance(Duration.ofMillis(100));
            busiest = Math.max(busiest, deployment.messages - before);
            assertThat(deployment.members.values())
                    .filteredOn(m -> !m.link.isLeaseHeld())
                    .isEmpty();
        }
        return busiest;
    }

    private UpstreamAnnouncement announced(String id) {
        return deployment.leader().state.upstreams().all().get(id);
    }
}
