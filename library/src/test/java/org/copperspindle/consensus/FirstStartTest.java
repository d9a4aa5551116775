package org.copperspindle.consensus;

import java.util.List;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Members that stop while the whole deployment starts for the first time, before there is a group. Only the processes of
 * that first start are told that it is the first one.
 */
class FirstStartTest {

    private static final int VOTERS = 3;

    /** Long before all members have reported to the one that bootstraps the group. */
    private static final long UNFOUNDED_NANOS = SimulatedGroup.TIMING.resendNanos() / 4;

    private static final long LONG_NANOS = 100 * SimulatedGroup.TIMING.electionNanos();

    /** Guards against a group that is never bootstrapped because the member that would do so was restarted. */
    @ParameterizedTest
    @CsvSource({"0, false", "0, true", "1, false", "1, true", "2, false", "2, true"})
    void memberRestartedBeforeThereIsAGroup(int number, boolean losesDisk) {
        for (long seed = 1; seed <= 10; seed++) {
            SimulatedGroup group = start(seed);
            restartLater(group, List.of(group.member(number)), group.members, losesDisk);
            group.commit("first");
            group.awaitAllHoldAcknowledged();
        }
    }

    /** Guards against a group that is never bootstrapped because all members were restarted. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allMembersRestartedBeforeThereIsAGroup(long seed) {
        SimulatedGroup group = start(seed);
        restartLater(group, group.members, group.members, false);
        group.commit("first");
        group.awaitAllHoldAcknowledged();
    }

    /** Guards against a second group beside the one whose log a member that is down still holds. */
    @Test
    void membersThatLostTheirDisksBootstrapNoGroup() {
        SimulatedGroup group = start(4);
        group.commit("first");
        group.members.forEach(SimulatedMember::crash);
        List<SimulatedMember> emptied = group.members.subList(0, 2);
        restartLater(group, emptied, emptied, true);
        group.time.advance(LONG_NANOS);
        assertThat(emptied).allMatch(m -> m.node.membership().members().isEmpty());
    }

    private static SimulatedGroup start(long seed) {
        SimulatedGroup group = new SimulatedGroup(seed, VOTERS);
        group.useDynamicMembership(VOTERS, true);
        group.startAll();
        group.time.advance(UNFOUNDED_NANOS);
        return group;
    }

    private static void restartLater(
            SimulatedGroup group, List<SimulatedMember> restarted, List<SimulatedMember> known, boolean loseDisks) {
        restarted.forEach(SimulatedMember::crash);
        if (loseDisks) {
            restarted.forEach(SimulatedMember::loseDisk);
        }
        group.time.advance(SimulatedGroup.TIMING.electionNanos());
        restarted.forEach(m -> group.useLaterStart(m, known, VOTERS));
        restarted.forEach(SimulatedMember::start);
    }
}
