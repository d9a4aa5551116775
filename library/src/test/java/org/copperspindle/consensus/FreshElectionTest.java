package org.copperspindle.consensus;

import java.util.SplittableRandom;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Elections among members that have just started. {@link SimulatedGroup} checks after every step that no two members
 * lead.
 */
class FreshElectionTest {

    private static final long MILLI = SimulatedGroup.MILLI;
    private static final long ELECTION = SimulatedGroup.TIMING.electionNanos();

    /** Nodes whose election timeout is 1 s must serve again within 12 s. */
    private static final long RECOVERY = 12 * ELECTION;

    /**
     * All members lose power at once. Callers would wait for a leader while each member waits for the end of a lease
     * that no leader holds.
     */
    @ParameterizedTest
    @CsvSource({"3, 1", "3, 2", "3, 3", "5, 4", "5, 5", "8, 6", "8, 7"})
    void restartedGroupElectsAtOnce(int voters, long seed) {
        SimulatedGroup group = started(voters, seed);
        group.members.forEach(SimulatedMember::crash);
        group.time.advance(30 * MILLI);
        group.startAll();
        long from = group.time.nanoTime();
        group.awaitLeader();
        assertThat(group.time.nanoTime() - from).isLessThan(ELECTION);
        group.commit("b");
        group.awaitAllHoldAcknowledged();
    }

    /** Guards against a wait for the lease of a voter whose disk is lost, while the group bears no further loss. */
    @ParameterizedTest
    @CsvSource({"3, 21", "3, 22", "3, 23", "3, 24", "5, 25", "5, 26", "8, 27"})
    void restartedGroupElectsAtOnceBesideALostDisk(int voters, long seed) {
        SimulatedGroup group = started(voters, seed);
        SimulatedMember emptied = group.member((int) (seed % voters));
        group.members.forEach(SimulatedMember::crash);
        emptied.loseDisk();
        group.time.advance(30 * MILLI);
        group.startAll();
        long from = group.time.nanoTime();
        group.awaitLeader();
        assertThat(group.time.nanoTime() - from).isLessThan(ELECTION);
        group.commit("b");
        group.awaitAllHoldAcknowledged();
    }

    /** One voter does not reply: it may be a leader whose lease is still running. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void othersWaitAnElectionTimeoutWhileOneVoterIsDown(long seed) {
        SimulatedGroup group = started(5, seed);
        group.members.forEach(SimulatedMember::crash);
        group.time.advance(MILLI);
        group.members.subList(1, 5).forEach(SimulatedMember::start);
        long from = group.time.nanoTime();
        group.awaitLeader();
        assertThat(group.time.nanoTime() - from).isGreaterThan(ELECTION * 9 / 10);
    }

    /**
     * All followers restart while the leader runs, partitioned from them or not: no other member may become leader
     * beside it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void runningLeaderIsNotReplaced(boolean isolate) {
        for (long seed = 100; seed < 140; seed++) {
            SimulatedGroup group = started(5, seed);
            SimulatedMember leader = group.awaitLeader();
            if (isolate) {
                group.isolate(leader);
            }
            group.members.stream().filter(m -> m != leader).forEach(m -> {
                m.crash();
                m.start();
            });
            group.time.advance(3 * ELECTION);
            group.cutLinks.clear();
            group.commit("b");
            group.awaitAllHoldAcknowledged();
        }
    }

    /** Crashes of all members, of some and one by one, on a network that loses, duplicates and delays messages. */
    @Test
    void safetyHoldsUnderRepeatedRestarts() {
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
            group.awaitAllHoldAcknowledged();
        }
    }

    /** The same with a lost disk in each round, the next one once the member votes again: at most one member may lead. */
    @Test
    void safetyHoldsUnderRepeatedRestartsWithLostDisks() {
        for (long seed = 230; seed < 260; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedGroup group = started(3, seed);
            group.loss = 0.05;
            group.duplicates = 0.05;
            group.maxDelay = 15 * MILLI;
            for (int round = 0; round < 8; round++) {
                SimulatedMember emptied = group.member(random.nextInt(3));
                double share = random.nextInt(3) == 0 ? 0.5 : 1;
                for (SimulatedMember member : group.members) {
                    if (member == emptied || random.nextDouble() < share) {
                        member.crash();
                        if (member == emptied) {
                            member.loseDisk();
                        }
                        group.time.advance(random.nextInt(30) * MILLI);
                        member.start();
                    }
                }
                group.until(
                        "votes again",
                        () -> group.leading()
                                .filter(leader -> isRepaired(leader, emptied))
                                .isPresent());
            }
            group.loss = 0;
            group.commit("last");
            group.awaitAllHoldAcknowledged();
        }
    }

    /** Members that poll again before slow disks have saved the votes of the round before overtake each other for good. */
    @ParameterizedTest
    @CsvSource({"3, 10", "3, 20", "3, 30", "5, 10", "5, 20", "5, 30", "8, 10", "8, 20", "8, 30"})
    void restartedGroupElectsWithSlowDisks(int voters, long syncMillis) {
        for (long seed = 300; seed < 320; seed++) {
            SimulatedGroup group = started(voters, seed);
            group.members.forEach(SimulatedMember::crash);
            group.members.forEach(member -> member.slowSyncs(syncMillis * MILLI));
            group.startAll();
            long from = group.time.nanoTime();
            group.awaitLeader();
            assertThat(group.time.nanoTime() - from).as("seed " + seed).isLessThan(RECOVERY);
        }
    }

    /** Members whose election ends before slow disks have saved a vote never elect a leader. */
    @ParameterizedTest
    @CsvSource({"3, 50", "3, 80", "3, 100", "5, 50", "5, 80", "5, 100", "8, 50", "8, 80", "8, 100"})
    void restartedGroupElectsWithDisksAsSlowAsItsTimeout(int voters, long syncMillis) {
        for (long seed = 400; seed < 440; seed++) {
            SimulatedGroup group = started(voters, seed);
            group.members.forEach(SimulatedMember::crash);
            group.members.forEach(member -> member.slowSyncs(syncMillis * MILLI));
            group.startAll();
            long from = group.time.nanoTime();
            group.awaitLeader();
            assertThat(group.time.nanoTime() - from).as("seed " + seed).isLessThan(RECOVERY);
        }
    }

    private static boolean isRepaired(SimulatedMember leader, SimulatedMember emptied) {
        return leader.node.membership().hasVoter(emptied.node.identity())
                && leader.node.log().membershipIndex() <= leader.node.commit();
    }

    private static SimulatedGroup started(int voters, long seed) {
        SimulatedGroup group = new SimulatedGroup(seed, voters);
        group.startAll();
        group.commit("a");
        group.awaitAllHoldAcknowledged();
        return group;
    }
}
