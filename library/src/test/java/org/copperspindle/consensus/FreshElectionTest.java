package org.copperspindle.consensus;

import java.util.SplittableRandom;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Elections among members that have just started. {@link SimulatedGroup} checks after every step that no two members lead.
 */
class FreshElectionTest {

    private static final long MILLI = SimulatedGroup.MILLI;
    private static final long ELECTION = SimulatedGroup.TIMING.electionNanos();

    /** All lose power together: callers wait for a leader, and each member waited for the end of a lease that nobody held. */
    @ParameterizedTest
    @CsvSource({"3, 1", "3, 2", "3, 3", "5, 4", "5, 5", "8, 6", "8, 7"})
    void membersThatAllStartedAnewElectAtOnce(int voters, long seed) {
        SimulatedGroup group = started(voters, seed);
        group.members.forEach(SimulatedMember::crash);
        group.time.advance(30 * MILLI);
        group.startAll();
        long from = group.time.nanoTime();
        group.awaitLeader();
        assertThat(group.time.nanoTime() - from).isLessThan(ELECTION);
        group.commit("b");
        group.checkAllHoldEverything();
    }

    /** One voter does not answer: it may be a leader whose lease still runs. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void oneVoterThatIsDownHoldsTheOthersToTheirPromise(long seed) {
        SimulatedGroup group = started(5, seed);
        group.members.forEach(SimulatedMember::crash);
        group.time.advance(MILLI);
        group.members.subList(1, 5).forEach(SimulatedMember::start);
        long from = group.time.nanoTime();
        group.awaitLeader();
        assertThat(group.time.nanoTime() - from).isGreaterThan(ELECTION * 9 / 10);
    }

    /** All followers restart while the leader lives, cut off from them or not: none leads beside it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leaderThatLivesIsNotOvertaken(boolean cutOff) {
        for (long seed = 100; seed < 140; seed++) {
            SimulatedGroup group = started(5, seed);
            SimulatedMember leader = group.awaitLeader();
            if (cutOff) {
                group.cutOff(leader);
            }
            group.members.stream().filter(m -> m != leader).forEach(m -> {
                m.crash();
                m.start();
            });
            group.time.advance(3 * ELECTION);
            group.cut.clear();
            group.commit("b");
            group.checkAllHoldEverything();
        }
    }

    /** Crashes of all, of some and one by one, over a network that loses, doubles and delays. */
    @Test
    void promisesHoldWhileAllRestartAgainAndAgain() {
        for (long seed = 200; seed < 230; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedGroup group = started(5, seed);
            group.loss = 0.05;
            group.duplicates = 0.05;
            group.maxDelay = 15 * MILLI;
            for (int round = 0; round < 20; round++) {
                double share = random.nextInt(3) == 0 ? 0.5 : 1;
                for (SimulatedMember member : group.members) {
                    if (random.nextDouble() < share) {
                        member.crash();
                        group.time.advance(random.nextInt(30) * MILLI);
                        member.start();
                    }
                }
                group.time.advance(random.nextInt(300) * MILLI);
            }
            group.loss = 0;
            group.commit("last");
            group.checkAllHoldEverything();
        }
    }

    private static SimulatedGroup started(int voters, long seed) {
        SimulatedGroup group = new SimulatedGroup(seed, voters);
        group.startAll();
        group.commit("a");
        group.checkAllHoldEverything();
        return group;
    }
}
