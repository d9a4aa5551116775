package org.copperspindle.consensus;

import java.util.List;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A group whose members are not named by the operator but taken as they are found.
 */
class OpenMembershipTest {

    /**
     * One of four voters is cut off for long. It is removed, so that the group can bear another loss; the loss of a second
     * one then stops nothing. When the first is back, nobody sends it anything any more: it asks, and votes again.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void silentVoterIsRemovedAndComesBack(long seed) {
        SimulatedGroup group = start(seed, 4, 3);
        SimulatedMember gone = other(group);
        long identity = gone.node.identity();
        group.cutOff(gone);
        group.until("removed", () -> !leads(group).node.membership().hasVoter(identity));
        SimulatedMember second = other(group);
        group.cutOff(second);
        group.commit("after the second loss");
        group.cut.clear();
        group.until(
                "back",
                () -> group.leading()
                        .filter(m -> m.node.membership().hasVoter(identity))
                        .isPresent());
        group.checkAllHoldEverything();
    }

    /**
     * One of three voters is gone for good, and an empty one comes at another address. It takes the lost one's place, after
     * which the loss of another of the first three is borne. Nothing acknowledged is lost.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void newcomerTakesThePlaceOfALostVoter(long seed) {
        SimulatedGroup group = start(seed, 3, 3);
        SimulatedMember lost = other(group);
        long identity = lost.node.identity();
        lost.crash();
        group.commit("while one is gone");
        group.nameVoters(4);
        group.openMembership(3, false);
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
     * Two members, the leader among them, lose their disks right after a command was acknowledged, and all others lose power in
     * the same instant: nobody runs on, and what disks had not finished is there in part. All start again at once. The
     * callers of the group find what was acknowledged, the empty members hold it too, and the group bears the same again.
     */
    @ParameterizedTest
    @CsvSource({"5, 21", "5, 22", "5, 23", "6, 24", "7, 25", "8, 26", "8, 27", "8, 28"})
    void acknowledgedOutlivesTwoDisksAndThePowerOfAllOthers(int voters, long seed) {
        SimulatedGroup group = start(seed, voters, 5);
        for (int round = 0; round < 3; round++) {
            group.commit("acknowledged last " + round);
            SimulatedMember leader = leads(group);
            List<SimulatedMember> emptied = List.of(leader, other(group));
            group.openMembership(5, false);
            group.members.forEach(SimulatedMember::crash);
            emptied.forEach(SimulatedMember::loseDisk);
            group.startAll();
            group.checkAllHoldEverything();
            group.commit("after " + round);
            group.until(
                    "all vote again",
                    () -> emptied.stream()
                            .allMatch(m -> leads(group).node.membership().hasVoter(m.node.identity())));
        }
    }

    /** A removal must leave enough voters for the losses that are to be borne at once. */
    @Test
    void silentVoterStaysWhileNoOtherCanTakeItsPlace() {
        SimulatedGroup group = start(5, 3, 3);
        SimulatedMember gone = other(group);
        gone.crash();
        group.time.advance(5_000 * SimulatedGroup.MILLI);
        assertThat(leads(group).node.membership().voters()).hasSize(3);
    }

    private static SimulatedGroup start(long seed, int voters, int minVoters) {
        SimulatedGroup group = new SimulatedGroup(seed, voters);
        group.openMembership(minVoters, true);
        group.startAll();
        group.awaitLeader();
        group.commit("first");
        return group;
    }

    private static SimulatedMember leads(SimulatedGroup group) {
        return group.awaitLeader();
    }

    private static SimulatedMember other(SimulatedGroup group) {
        SimulatedMember leader = leads(group);
        return group.members.stream()
                .filter(m -> m != leader && m.node != null && !group.cut.contains(m.name + ">" + leader.name))
                .findFirst()
                .orElseThrow();
    }
}
