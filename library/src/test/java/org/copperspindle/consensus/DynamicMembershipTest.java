package org.copperspindle.consensus;

import java.util.List;
import java.util.OptionalInt;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A group whose members are discovered rather than configured by the operator.
 */
class DynamicMembershipTest {

    /** Time after its start for which a node that has lost its disk still counts as lost: 4 s, with election timeouts of 1 s. */
    private static final long REPAIR_NANOS = 4 * SimulatedGroup.TIMING.electionNanos();

    /**
     * One of four voters is partitioned for long. It must be removed, so that the group can tolerate another loss; the
     * loss of a second voter must then stop nothing. When the first one is back, no member sends it anything: it must
     * ask to join, and vote again.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void unresponsiveVoterIsRemovedAndComesBack(long seed) {
        SimulatedGroup group = start(seed, 4, 3);
        SimulatedMember unresponsive = other(group);
        long identity = unresponsive.node.identity();
        group.isolate(unresponsive);
        group.until("removed", () -> !currentLeader(group).node.membership().hasVoter(identity));
        SimulatedMember second = other(group);
        group.isolate(second);
        group.commit("after the second loss");
        group.cutLinks.clear();
        group.until(
                "back",
                () -> group.leading()
                        .filter(m -> m.node.membership().hasVoter(identity))
                        .isPresent());
        group.awaitAllHoldAcknowledged();
    }

    /**
     * One of three voters is lost permanently, and an empty member starts at another address. It must replace the lost
     * one, after which the group tolerates the loss of another of the first three. Nothing acknowledged may be lost.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void newMemberReplacesALostVoter(long seed) {
        SimulatedGroup group = start(seed, 3, 3);
        SimulatedMember lost = other(group);
        long identity = lost.node.identity();
        lost.crash();
        group.commit("while one is gone");
        group.configureVoters(4);
        group.useDynamicMembership(3, false);
        SimulatedMember newcomer = group.member(3);
        newcomer.start();
        group.until(
                "replaced",
                () -> group.leading()
                        .filter(m -> m.node.membership().hasVoter(newcomer.node.identity())
                                && !m.node.membership().hasVoter(identity))
                        .isPresent());
        SimulatedMember next = group.members.stream()
                .filter(m -> m != lost && m != newcomer && !m.leads())
                .findFirst()
                .orElseThrow();
        next.crash();
        group.commit("after the next loss");
        assertThat(newcomer.state).contains("first", "while one is gone");
    }

    /**
     * Two members, one of them the leader, lose their disks right after a command was acknowledged, and all others lose
     * power at the same time, so that pending disk writes are partly done. All start again at once. Everything
     * acknowledged must still be there, the empty members must get it too, and the group must tolerate the same again.
     */
    @ParameterizedTest
    @CsvSource({"5, 21", "5, 22", "5, 23", "6, 24", "7, 25", "8, 26", "8, 27", "8, 28"})
    void acknowledgedEntriesSurviveTwoLostDisksAndPowerLoss(int voters, long seed) {
        SimulatedGroup group = start(seed, voters, 5);
        for (int round = 0; round < 3; round++) {
            group.commit("acknowledged last " + round);
            SimulatedMember leader = currentLeader(group);
            List<SimulatedMember> emptied = List.of(leader, other(group));
            group.useDynamicMembership(5, false);
            group.members.forEach(SimulatedMember::crash);
            emptied.forEach(SimulatedMember::loseDisk);
            group.startAll();
            group.awaitAllHoldAcknowledged();
            group.commit("after " + round);
            group.until(
                    "all vote again",
                    () -> emptied.stream()
                            .allMatch(
                                    m -> currentLeader(group).node.membership().hasVoter(m.node.identity())));
        }
    }

    /** Guards against a group that has no quorum ever again because the voter with the first lost disk still counts. */
    @ParameterizedTest
    @CsvSource({"FOLLOWER, false", "FOLLOWER, true", "LEADER, false", "LEADER, true"})
    void diskLostAfterTheRepairOfAnotherOneLosesNothing(RaftRole role, boolean allRestart) {
        for (long seed = 41; seed < 61; seed++) {
            SimulatedGroup group = start(seed, 3, 3);
            SimulatedMember first = role == RaftRole.LEADER ? currentLeader(group) : other(group);
            List<SimulatedMember> restarted = allRestart ? group.members : List.of(first);
            restarted.forEach(SimulatedMember::crash);
            first.loseDisk();
            group.time.advance(SimulatedGroup.TIMING.electionNanos());
            restarted.forEach(SimulatedMember::start);
            group.time.advance(REPAIR_NANOS);
            SimulatedMember second =
                    group.members.stream().filter(m -> m != first).findFirst().orElseThrow();
            second.crash();
            second.loseDisk();
            second.start();
            group.commit("after the second loss");
            group.awaitAllHoldAcknowledged();
        }
    }

    /**
     * Guards against an empty member that gets nothing while its former identity, a voter at the same address, takes all
     * room on the connection of the two.
     */
    @ParameterizedTest
    @CsvSource({"100, false", "100, true", "20, false", "20, true"})
    void emptyMemberIsRepairedOverABusyLink(long bytesPerMilli, boolean allRestart) {
        for (long seed = 101; seed < 121; seed++) {
            SimulatedGroup group = start(seed, 3, 3);
            group.bytesPerMilli = bytesPerMilli;
            for (int i = 0; i < 10; i++) {
                group.commit("command " + i + " of a size that fills the link ".repeat(4));
            }
            SimulatedMember emptied = other(group);
            List<SimulatedMember> restarted = allRestart ? group.members : List.of(emptied);
            restarted.forEach(SimulatedMember::crash);
            emptied.loseDisk();
            group.time.advance(SimulatedGroup.TIMING.electionNanos());
            restarted.forEach(SimulatedMember::start);
            group.time.advance(REPAIR_NANOS);
            assertThat(currentLeader(group).node.membership().hasVoter(emptied.node.identity()))
                    .as("repaired with seed " + seed)
                    .isTrue();
        }
    }

    /** Guards against a group that has no quorum ever again because a voter that was replaced still counts. */
    @ParameterizedTest
    @EnumSource(
            value = RaftRole.class,
            names = {"FOLLOWER", "LEADER"})
    void diskLostAfterTheReplacementOfAVoterLosesNothing(RaftRole role) {
        for (long seed = 61; seed < 81; seed++) {
            SimulatedGroup group = start(seed, 3, 3);
            SimulatedMember replaced = role == RaftRole.LEADER ? currentLeader(group) : other(group);
            long startedAt = group.time.nanoTime();
            SimulatedMember newcomer = addMember(group);
            group.time.advance(SimulatedGroup.TIMING.electionNanos() * 3 / 10);
            replaced.crash();
            group.time.advance(startedAt + REPAIR_NANOS - group.time.nanoTime());
            SimulatedMember second = group.members.stream()
                    .filter(m -> m != replaced && m != newcomer)
                    .findFirst()
                    .orElseThrow();
            second.crash();
            second.loseDisk();
            second.start();
            group.commit("after the second loss");
            group.awaitAllHoldAcknowledged();
        }
    }

    /** Guards against a member that is removed again as soon as it is back, before it could reply. */
    @ParameterizedTest
    @ValueSource(longs = {82, 83, 84})
    void unresponsiveVoterWithASlowDiskComesBack(long seed) {
        SimulatedGroup group = start(seed, 4, 3);
        SimulatedMember unresponsive = other(group);
        long identity = unresponsive.node.identity();
        group.isolate(unresponsive);
        group.until("removed", () -> !currentLeader(group).node.membership().hasVoter(identity));
        unresponsive.slowSyncs(SimulatedGroup.TIMING.electionNanos());
        group.cutLinks.clear();
        group.until(
                "back",
                () -> group.leading()
                        .filter(m -> m.node.membership().hasVoter(identity))
                        .isPresent());
    }

    /** Guards against a lost voter that is never replaced because members that left before they could vote take all places. */
    @Test
    void membersThatLeftBeforeTheyCouldVoteTakeNoPlaces() {
        SimulatedGroup group = start(81, 3, 3);
        for (int i = 0; i < 12; i++) {
            SimulatedMember brief = addMember(group);
            group.until("admitted", () -> isMember(group, brief));
            brief.crash();
            group.time.advance(10 * SimulatedGroup.TIMING.electionNanos());
        }
        SimulatedMember lost = other(group);
        lost.crash();
        SimulatedMember newcomer = addMember(group);
        group.until(
                "replaced",
                () -> group.leading()
                        .filter(m -> m.node.membership().hasVoter(newcomer.node.identity()))
                        .isPresent());
    }

    /** Guards against a repair that begins late, as an empty member asked before there was a leader. */
    @ParameterizedTest
    @ValueSource(longs = {95, 96, 97})
    void memberThatAskedBeforeTheElectionIsAdmitted(long seed) {
        SimulatedGroup group = start(seed, 3, 3);
        SimulatedMember emptied = other(group);
        group.members.forEach(SimulatedMember::crash);
        emptied.loseDisk();
        group.startAll();
        group.time.advance(8 * SimulatedGroup.MILLI);
        group.members.forEach(other -> group.cutLinks.add(emptied.name + ">" + other.name));
        group.until("admitted", () -> isMember(group, emptied));
    }

    /** Guards against a place in the group for a member that has left, given because of the request with which it joined. */
    @ParameterizedTest
    @ValueSource(longs = {98, 99, 100})
    void memberThatWasRemovedIsNotAdmittedUnasked(long seed) {
        SimulatedGroup group = start(seed, 3, 3);
        SimulatedMember brief = addMember(group);
        long identity = brief.node.identity();
        group.until("joined", () -> currentLeader(group).node.membership().hasVoter(identity));
        brief.crash();
        group.until(
                "removed",
                () -> currentLeader(group).node.membership().find(identity).isEmpty());
        for (int milli = 0; milli < 300; milli++) {
            group.time.advance(SimulatedGroup.MILLI);
            assertThat(currentLeader(group).node.membership().find(identity)).isEmpty();
        }
    }

    /** Guards against entries that are sent for good to a member that can't reply, and take the room of others. */
    @Test
    void silentMemberGetsNoEntries() {
        SimulatedGroup group = start(94, 3, 3);
        SimulatedMember silent = other(group);
        silent.crash();
        group.commit("while it is gone");
        group.time.advance(2 * SimulatedGroup.TIMING.electionNanos());
        group.bulkSent.clear();
        group.commit("after its silence");
        group.time.advance(SimulatedGroup.TIMING.electionNanos());
        assertThat(group.bulkSent).doesNotContainKey(silent.name);
        silent.start();
        group.awaitAllHoldAcknowledged();
    }

    /** Guards against a group that is one loss away from having no leader while nothing says so. */
    @Test
    void leaderTellsHowManyVotersCanBeLost() {
        SimulatedGroup group = start(91, 3, 3);
        SimulatedMember emptied = other(group);
        group.until("complete", () -> spareVoters(group).equals(OptionalInt.of(1)));
        emptied.crash();
        group.until("one lost", () -> spareVoters(group).equals(OptionalInt.of(0)));
        emptied.loseDisk();
        emptied.start();
        group.until("repaired", () -> spareVoters(group).equals(OptionalInt.of(1)));
        assertThat(currentLeader(group).node.membership().hasVoter(emptied.node.identity()))
                .isTrue();
        assertThat(other(group).node.spareVoters()).isEmpty();
    }

    /** A removal must leave enough voters for the number of losses that the group must tolerate at once. */
    @Test
    void unresponsiveVoterStaysWithoutAReplacement() {
        SimulatedGroup group = start(5, 3, 3);
        SimulatedMember unresponsive = other(group);
        unresponsive.crash();
        group.time.advance(5_000 * SimulatedGroup.MILLI);
        assertThat(currentLeader(group).node.membership().voters()).hasSize(3);
    }

    private static OptionalInt spareVoters(SimulatedGroup group) {
        return currentLeader(group).node.spareVoters();
    }

    private static SimulatedMember addMember(SimulatedGroup group) {
        int number = group.members.size();
        group.configureVoters(number + 1);
        group.useDynamicMembership(3, false);
        SimulatedMember added = group.member(number);
        added.start();
        return added;
    }

    private static boolean isMember(SimulatedGroup group, SimulatedMember member) {
        return group.leading()
                .flatMap(m -> m.node.membership().find(member.node.identity()))
                .isPresent();
    }

    private static SimulatedGroup start(long seed, int voters, int minVoters) {
        SimulatedGroup group = new SimulatedGroup(seed, voters);
        group.useDynamicMembership(minVoters, true);
        group.startAll();
        group.awaitLeader();
        group.commit("first");
        return group;
    }

    private static SimulatedMember currentLeader(SimulatedGroup group) {
        return group.awaitLeader();
    }

    private static SimulatedMember other(SimulatedGroup group) {
        SimulatedMember leader = currentLeader(group);
        return group.members.stream()
                .filter(m -> m != leader && m.node != null && !group.cutLinks.contains(m.name + ">" + leader.name))
                .findFirst()
                .orElseThrow();
    }
}
