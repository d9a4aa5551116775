package org.copperspindle.consensus;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Reads at the leader, which are answered once a quorum has confirmed that it still leads.
 */
class LeadershipConfirmationTest {

    private static final long ELECTION = SimulatedGroup.TIMING.electionNanos();
    private static final long QUESTION = 1;

    /** Guards against reads that wait for disks. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void leaderIsConfirmedWhileDisksAreSlow(int voters) {
        SimulatedGroup group = started(voters);
        group.members.forEach(m -> m.slowSyncs(100 * ELECTION));
        SimulatedMember leader = group.awaitLeader();
        assertThat(leader.confirm(QUESTION)).isTrue();
        group.time.advance(ELECTION / 5);
        assertThat(leader.confirmed).containsExactly(QUESTION);
    }

    /** Guards against an outdated read at a leader that has been replaced and does not know it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void replacedLeaderIsNotConfirmed(long seed) {
        SimulatedGroup group = started(3, seed);
        SimulatedMember former = group.awaitLeader();
        group.isolate(former);
        assertThat(former.confirm(QUESTION)).isTrue();
        group.until(
                "another leader", () -> group.leading().filter(m -> m != former).isPresent());
        group.commit("second");
        group.cutLinks.clear();
        group.awaitAllHoldAcknowledged();
        group.time.advance(10 * ELECTION);
        assertThat(former.confirmed).isEmpty();
    }

    /** Guards against a read at a new leader that misses what the one before has acknowledged. */
    @ParameterizedTest
    @ValueSource(longs = {4, 5, 6})
    void newLeaderIsConfirmedOnceItHoldsWhatWasAcknowledged(long seed) {
        SimulatedGroup group = started(3, seed);
        group.commit("second");
        group.awaitLeader().crash();
        group.until("a new leader", () -> group.members.stream().anyMatch(LeadershipConfirmationTest::isLeader));
        SimulatedMember next = group.members.stream()
                .filter(LeadershipConfirmationTest::isLeader)
                .findFirst()
                .orElseThrow();
        assertThat(next.confirm(QUESTION)).isTrue();
        group.until("confirmed", () -> next.confirmed.contains(QUESTION));
        assertThat(next.state).contains("first", "second");
    }

    /** A follower is never confirmed. */
    @Test
    void followerIsNotConfirmed() {
        SimulatedGroup group = started(3);
        SimulatedMember leader = group.awaitLeader();
        assertThat(group.members.stream().filter(m -> m != leader)).noneMatch(m -> m.confirm(QUESTION));
    }

    private static boolean isLeader(SimulatedMember member) {
        return member.node != null && member.node.role() == RaftRole.LEADER;
    }

    private static SimulatedGroup started(int voters) {
        return started(voters, 1);
    }

    private static SimulatedGroup started(int voters, long seed) {
        SimulatedGroup group = new SimulatedGroup(seed, voters);
        group.startAll();
        group.awaitLeader();
        group.commit("first");
        return group;
    }
}
