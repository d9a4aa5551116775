package org.copperspindle.consensus;

import java.util.List;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The consensus core under faults, in virtual time. {@link SimulatedGroup} checks after every step that each term has
 * one leader, that no two members lead at the same time, and that no committed entry changes.
 */
class RaftNodeTest {

    private static final long MILLI = SimulatedGroup.MILLI;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void groupBootstrapsAndCommits(int voters) {
        SimulatedGroup group = new SimulatedGroup(1, voters);
        group.startAll();
        group.commit("a");
        group.awaitAllHoldAcknowledged();
    }

    /**
     * The network loses, duplicates, delays and reorders messages, and members crash, are partitioned, or lose their
     * disks one at a time. Whatever was acknowledged must be kept, and what was committed must never change. When all
     * faults are over, every member must hold everything that was ever acknowledged.
     */
    @ParameterizedTest
    @CsvSource({"3, 100, 24", "5, 200, 12"})
    void safetyHoldsUnderRandomFaults(int voters, long firstSeed, int schedules) {
        int acknowledged = 0;
        for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
            acknowledged += runSchedule(seed, voters);
        }
        // A schedule that commits nothing would prove nothing.
        assertThat(acknowledged).isGreaterThan(100 * schedules);
    }

    private static int runSchedule(long seed, int voters) {
        SimulatedGroup group = new SimulatedGroup(seed, voters);
        group.loss = 0.05;
        group.duplicates = 0.05;
        group.maxDelay = 15 * MILLI;
        group.startAll();
        group.awaitLeader();
        FaultSchedule faults = new FaultSchedule(group);
        for (int step = 0; step < 2000; step++) {
            faults.run(step);
        }
        faults.heal();
        group.commit("last");
        group.awaitAllHoldAcknowledged();
        return group.acknowledgedCount();
    }

    /**
     * A change is committed while one of three voters is down. Then another voter loses its disk and comes back empty,
     * and after its repair a second VM is lost permanently. The change was on two disks, and one of them is lost: if
     * the empty member had voted at once, the one that was down could have been elected without the change.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossOfSecondVoterAfterRepairLosesNoCommittedEntry(long seed) {
        SimulatedGroup group = new SimulatedGroup(seed, 3);
        group.startAll();
        SimulatedMember leader = group.awaitLeader();
        List<SimulatedMember> others =
                group.members.stream().filter(m -> m != leader).toList();
        others.get(0).crash();
        group.commit("kept");
        others.get(1).crash();
        others.get(1).loseDisk();
        others.get(0).start();
        others.get(1).start();
        group.until(
                "repair over",
                () -> leader.node != null
                        && leader.node.membership().hasVoter(others.get(1).node.identity())
                        && leader.node.log().membershipIndex() <= leader.node.commit());
        leader.crash();
        leader.loseDisk();
        group.commit("after");
        assertThat(others.get(0).state).containsSequence("kept");
        assertThat(others.get(1).state).containsSequence("kept");
    }

    /**
     * Of the first voters, only the one that bootstrapped the group comes back with an empty folder. It must not
     * bootstrap a second group besides the existing one, even while it is partitioned from all others.
     */
    @Test
    void emptiedMemberBootstrapsNoSecondGroup() {
        SimulatedGroup group = new SimulatedGroup(9, 3);
        group.startAll();
        group.commit("a");
        SimulatedMember bootstrapper = group.member(0);
        bootstrapper.crash();
        bootstrapper.loseDisk();
        group.isolate(bootstrapper);
        bootstrapper.start();
        group.time.advance(2000 * MILLI);
        assertThat(bootstrapper.node.membership()).isEqualTo(Membership.EMPTY);
        group.cutLinks.clear();
        group.until("founder back", () -> bootstrapper.state.contains("a"));
    }

    /**
     * A leader is partitioned without notice. Before another one can be elected it must stop being leader, then step
     * down; what it had accepted since must not be reported as committed, and the group must continue.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void partitionedLeaderStopsLeading(long seed) {
        SimulatedGroup group = new SimulatedGroup(seed, 3);
        group.startAll();
        SimulatedMember old = group.awaitLeader();
        group.isolate(old);
        assertThat(old.propose("lost")).isTrue();
        group.until(
                "another leader", () -> group.leading().filter(m -> m != old).isPresent());
        assertThat(old.node.role()).isNotEqualTo(RaftRole.LEADER);
        group.commit("kept");
        group.cutLinks.clear();
        group.awaitAllHoldAcknowledged();
        assertThat(group.isAcknowledged("lost")).isFalse();
        assertThat(old.state).contains("kept").doesNotContain("lost");
    }

    /** A follower that was partitioned for long comes back: the leader must keep its role and its term. */
    @Test
    void returningFollowerDoesNotReplaceTheLeader() {
        SimulatedGroup group = new SimulatedGroup(21, 3);
        group.startAll();
        SimulatedMember leader = group.awaitLeader();
        long term = leader.node.term();
        SimulatedMember follower =
                group.members.stream().filter(m -> m != leader).findFirst().orElseThrow();
        group.isolate(follower);
        group.time.advance(5000 * MILLI);
        group.cutLinks.clear();
        group.time.advance(1000 * MILLI);
        assertThat(leader.leads()).isTrue();
        assertThat(leader.node.term()).isEqualTo(term);
    }

    /** A member that was down during hundreds of entries must get one snapshot in chunks, not each entry. */
    @Test
    void memberFarBehindGetsSnapshotInChunks() {
        SimulatedGroup group = new SimulatedGroup(31, 3);
        group.startAll();
        SimulatedMember leader = group.awaitLeader();
        SimulatedMember lagging =
                group.members.stream().filter(m -> m != leader).findFirst().orElseThrow();
        lagging.crash();
        for (int i = 0; i < 500; i++) {
            group.commit("c" + i);
        }
        assertThat(leader.node.log().baseIndex()).isGreaterThan(400);
        lagging.start();
        group.awaitAllHoldAcknowledged();
        assertThat(lagging.node.log().snapshot().orElseThrow().index()).isGreaterThan(400);
    }

    /**
     * A proposal may be refused as never to be committed only if nothing was appended; memory use must stay bounded.
     */
    @Test
    void proposalsBeyondTheLimitAreNotAccepted() {
        SimulatedGroup group = new SimulatedGroup(41, 3);
        group.startAll();
        SimulatedMember leader = group.awaitLeader();
        group.isolate(leader);
        long last = leader.node.log().lastIndex();
        int accepted = 0;
        for (int i = 0; i < 200; i++) {
            accepted += leader.propose("x".repeat(100)) ? 1 : 0;
        }
        assertThat(accepted).isBetween(1, 60);
        assertThat(leader.node.log().lastIndex()).isEqualTo(last + accepted);
    }

    /**
     * The leader's disk is slow, so that its newest entry is only in memory when it is partitioned; the others have the
     * entry and continue. When the old leader receives that entry again, it must write it before it acknowledges it:
     * {@link SimulatedGroup} compares each reply with the disk.
     */
    @Test
    void entryOnlyInMemoryIsWrittenBeforeItIsAcknowledged() {
        SimulatedGroup group = new SimulatedGroup(61, 3);
        group.startAll();
        SimulatedMember old = group.awaitLeader();
        old.maxSync = 3000 * MILLI;
        old.propose("first");
        old.propose("second");
        group.time.advance(20 * MILLI);
        group.isolate(old);
        group.until(
                "another leader", () -> group.leading().filter(m -> m != old).isPresent());
        old.maxSync = MILLI;
        group.cutLinks.clear();
        group.commit("third");
        group.awaitAllHoldAcknowledged();
        old.crash();
        old.start();
        assertThat(old.node.log().lastIndex()).isGreaterThanOrEqualTo(5);
    }

    /**
     * The operator configures two more voters: they must become learners first and be promoted one by one, after which
     * two of five may be lost.
     */
    @Test
    void groupGrowsFromThreeToFive() {
        SimulatedGroup group = new SimulatedGroup(71, 3);
        group.startAll();
        group.commit("a");
        group.configureVoters(5);
        for (SimulatedMember member : List.copyOf(group.members)) {
            if (member.node != null) {
                member.crash();
            }
            member.start();
            group.awaitLeader();
        }
        group.until(
                "five voters",
                () -> group.leading()
                        .filter(m -> m.node.membership().voters().size() == 5)
                        .isPresent());
        group.commit("b");
        SimulatedMember leader = group.awaitLeader();
        leader.crash();
        group.members.stream()
                .filter(m -> m.node != null)
                .findFirst()
                .orElseThrow()
                .crash();
        group.commit("c");
        group.awaitAllHoldAcknowledged();
    }
}
