package org.copperspindle.membership;

import java.time.Duration;

import org.copperspindle.membership.VirtualDeployment.SimulatedProcess;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Membership of upstreams: leases of agents, incarnations out of order, and the updates that entries receive. In
 * virtual time.
 */
class UpstreamMembershipTest {

    private final VirtualDeployment deployment = new VirtualDeployment(3);

    /**
     * An agent becomes unreachable without notice. Its upstream must be removed once its lease has expired, and entries
     * must be updated.
     */
    @Test
    void upstreamIsRemovedWithItsLease() {
        SimulatedProcess entry = deployment.entry("entry-1");
        deployment.agent("u1", 10);
        deployment.advance(Duration.ofSeconds(3));
        assertThat(entry.upstreams).containsExactly("u1");

        deployment.isolated.add("u1");
        deployment.advance(Duration.ofSeconds(3));
        assertThat(entry.upstreams).containsExactly("u1");
        deployment.advance(Duration.ofSeconds(3));
        assertThat(entry.upstreams).isEmpty();

        deployment.isolated.clear();
        deployment.advance(Duration.ofSeconds(3));
        assertThat(entry.upstreams).containsExactly("u1");
    }

    /**
     * An agent crashes together with the leader. The new leader never sees it, so that no lease known to it expires; it
     * must remove the upstream all the same, and must not remove those whose agents are still reconnecting.
     */
    @Test
    void newLeaderRemovesUpstreamsThatDoNotReconnect() {
        SimulatedProcess entry = deployment.entry("entry-1");
        SimulatedProcess lost = deployment.agent("u1", 10);
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
     * A VM restarts with its clock set back, so that the new incarnation of the agent has a smaller number than the old
     * one. Control reports the incarnation that it knows, the new process takes a larger number, and its upstream is
     * announced again.
     */
    @Test
    void restartWithTheClockSetBackGetsALargerIncarnation() {
        SimulatedProcess old = deployment.agent("u1", 1000);
        deployment.advance(Duration.ofSeconds(3));
        old.kill();
        SimulatedProcess restarted = deployment.agent("u1", 500);
        deployment.advance(Duration.ofSeconds(3));

        assertThat(restarted.incarnation).isEqualTo(1001);
        assertThat(restarted.link.isLeaseHeld()).isTrue();
        assertThat(announced("u1").incarnation()).isEqualTo(1001);
    }

    /**
     * A VM is replaced while the old one is isolated; then the old process resumes and announces its upstream as
     * before. It must get no lease and change nothing, and must not supersede the new one by taking a larger number.
     */
    @Test
    void oldIncarnationThatResumesChangesNothing() {
        SimulatedProcess old = deployment.agent("u1", 1000);
        deployment.advance(Duration.ofSeconds(3));
        deployment.isolated.add("u1");
        deployment.advance(Duration.ofSeconds(8));
        deployment.isolated.clear();
        SimulatedProcess fresh = deployment.agent("u1", 2000);
        deployment.advance(Duration.ofSeconds(10));

        assertThat(announced("u1").incarnation()).isEqualTo(2000);
        assertThat(fresh.link.isLeaseHeld()).isTrue();
        assertThat(old.link.isLeaseHeld()).isFalse();
        assertThat(old.incarnation).isEqualTo(1000);
    }

    /** An upstream starts to drain: every entry must know it well within three seconds. */
    @Test
    void entriesKnowADrainingUpstreamWithinThreeSeconds() {
        for (int i = 0; i < 20; i++) {
            deployment.entry("entry-" + i);
        }
        SimulatedProcess agent = deployment.agent("u1", 10);
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
     * The leader is lost at the design size: 840 entries and 4,300 agents look for the new one at once. None may lose
     * its lease, and no 100 ms interval may see more than three times the usual number of messages.
     */
    @Test
    void reconnectOfTheWholeFleetIsSpreadAndKeepsEveryLease() {
        deployment.apply(0, "c1", 0, "one", Duration.ofSeconds(30));
        for (int i = 0; i < 840; i++) {
            deployment.entry("entry-" + i);
        }
        for (int i = 0; i < 4300; i++) {
            deployment.agent("u" + i, 10);
        }
        deployment.advance(Duration.ofSeconds(10));
        long usual = maxMessagesPer100Millis(10);
        deployment.lead(1);
        deployment.isolated.add("control-0");
        long afterLoss = maxMessagesPer100Millis(50);

        assertThat(afterLoss).isLessThan(3 * usual);
    }

    private long maxMessagesPer100Millis(int intervals) {
        long busiest = 0;
        for (int i = 0; i < intervals; i++) {
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
