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
 * one leader, that no two members lead at one instant, and that no committed entry changes.
 */
class RaftNodeTest {

    private static final long MILLI = SimulatedGroup.MILLI;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void groupFoundsItselfAndCommits(int voters) {
        SimulatedGroup group = new SimulatedGroup(1, voters);
        group.startAll();
        group.commit("a");
        group.checkAllHoldEverything();
    }

    /**
     * Operators go on getting answers while the network loses, doubles, delays and reorders messages, members crash, are
     * cut off, or lose their disk one at a time. Whatever was acknowledged stays; what was committed never changes.
     * When all is whole again, every member holds everything that was ever acknowledged.
     */
    @ParameterizedTest
    @CsvSource({"3, 100, 24", "5, 200, 12"})
    void promisesHoldUnderRandomFaults(int voters, long firstSeed, int schedules) {
        int acknowledged = 0;
        for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
            acknowledged += runSchedule(seed, voters);
        }
        // A schedule that never commits would prove nothing.
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
            faults.step(step);
        }
        faults.heal();
        group.commit("last");
        group.checkAllHoldEverything();
        return group.acknowledgedCount();
    }

    /**
     * The operator's change is committed while one of three voters is down. Then another voter loses its disk and comes
     * back empty, and after its repair a second VM is lost for good. The change was on two disks, and one of them is
     * gone: had the empty member voted at once, the one that was down could have been elected without the change.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void lossOfSecondVoterAfterRepairLosesNothing(long seed) {
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
     * All first voters but one lose nothing; that one, the founder, comes back with an empty folder. It must not found a
     * second group beside the one that lives, even while it is cut off from everybody.
     */
    @Test
    void emptiedFounderFoundsNoSecondGroup() {
        SimulatedGroup group = new SimulatedGroup(9, 3);
        group.startAll();
        group.commit("a");
        SimulatedMember founder = group.member(0);
        founder.crash();
        founder.loseDisk();
        group.cutOff(founder);
        founder.start();
        group.time.advance(2000 * MILLI);
        assertThat(founder.node.membership()).isEqualTo(Membership.EMPTY);
        group.cut.clear();
        group.until("founder back", () -> founder.state.contains("a"));
    }

    /**
     * A leader is cut off in silence. Before another can be elected it stops saying that it leads, then steps down; what
     * it had taken since is reported as unknown, and the group goes on.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void leaderCutOffInSilenceStopsLeading(long seed) {
        SimulatedGroup group = new SimulatedGroup(seed, 3);
        group.startAll();
        SimulatedMember old = group.awaitLeader();
        group.cutOff(old);
        assertThat(old.propose("lost")).isTrue();
        group.until(
                "another leader", () -> group.leading().filter(m -> m != old).isPresent());
        assertThat(old.node.role()).isNotEqualTo(RaftRole.LEADER);
        group.commit("kept");
        group.cut.clear();
        group.checkAllHoldEverything();
        assertThat(group.isAcknowledged("lost")).isFalse();
        assertThat(old.state).contains("kept").doesNotContain("lost");
    }

    /** A follower that was cut off for long comes back: the leader keeps its place and its term. */
    @Test
    void returningFollowerDeposesNobody() {
        SimulatedGroup group = new SimulatedGroup(21, 3);
        group.startAll();
        SimulatedMember leader = group.awaitLeader();
        long term = leader.node.term();
        SimulatedMember follower =
                group.members.stream().filter(m -> m != leader).findFirst().orElseThrow();
        group.cutOff(follower);
        group.time.advance(5000 * MILLI);
        group.cut.clear();
        group.time.advance(1000 * MILLI);
        assertThat(leader.leads()).isTrue();
        assertThat(leader.node.term()).isEqualTo(term);
    }

    /** A member that slept through hundreds of entries gets one snapshot in pieces, not each entry. */
    @Test
    void memberFarBehindGetsSnapshotInPieces() {
        SimulatedGroup group = new SimulatedGroup(31, 3);
        group.startAll();
        SimulatedMember leader = group.awaitLeader();
        SimulatedMember sleeper =
                group.members.stream().filter(m -> m != leader).findFirst().orElseThrow();
        sleeper.crash();
        for (int i = 0; i < 500; i++) {
            group.commit("c" + i);
        }
        assertThat(leader.node.log().baseIndex()).isGreaterThan(400);
        sleeper.start();
        group.checkAllHoldEverything();
        assertThat(sleeper.node.log().snapshot().orElseThrow().index()).isGreaterThan(400);
    }

    /** A proposal is refused as never to be committed only where nothing was appended; memory stays bounded. */
    @Test
    void proposalsBeyondTheBoundAreNotTaken() {
        SimulatedGroup group = new SimulatedGroup(41, 3);
        group.startAll();
        SimulatedMember leader = group.awaitLeader();
        group.cutOff(leader);
        long last = leader.node.log().lastIndex();
        int taken = 0;
        for (int i = 0; i < 200; i++) {
            taken += leader.propose("x".repeat(100)) ? 1 : 0;
        }
        assertThat(taken).isBetween(1, 60);
        assertThat(leader.node.log().lastIndex()).isEqualTo(last + taken);
    }

    /**
     * The leader's disk is slow, so that its newest entry is only in memory when it is cut off; the others have it and go
     * on. When the old leader hears of that entry again it must write it before it vouches for it: {@link SimulatedGroup}
     * compares each answer with the disk.
     */
    @Test
    void entryOnlyInMemoryIsWrittenBeforeItIsVouchedFor() {
        SimulatedGroup group = new SimulatedGroup(61, 3);
        group.startAll();
        SimulatedMember old = group.awaitLeader();
        old.maxSync = 3000 * MILLI;
        old.propose("first");
        old.propose("second");
        group.time.advance(20 * MILLI);
        group.cutOff(old);
        group.until(
                "another leader", () -> group.leading().filter(m -> m != old).isPresent());
        old.maxSync = MILLI;
        group.cut.clear();
        group.commit("third");
        group.checkAllHoldEverything();
        old.crash();
        old.start();
        assertThat(old.node.log().lastIndex()).isGreaterThanOrEqualTo(5);
    }

    /** The operator names two more voters: they learn first, are promoted one by one, and then two of five may be lost. */
    @Test
    void groupGrowsFromThreeToFive() {
        SimulatedGroup group = new SimulatedGroup(71, 3);
        group.startAll();
        group.commit("a");
        group.nameVoters(5);
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
        group.checkAllHoldEverything();
    }
}
