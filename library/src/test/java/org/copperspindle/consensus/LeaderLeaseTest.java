package org.copperspindle.consensus;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The leader's lease, with the one follower on which it depends.
 */
class LeaderLeaseTest {

    private static final long STEP = SimulatedGroup.MILLI / 20;

    /**
     * One of three voters is down, so the lease depends on a single follower. The leader's clock is as slow, and the
     * follower's as fast, as the declared bound allows. The leader is partitioned, and a candidate asks the follower
     * for its vote repeatedly: when the follower grants it, the leader must already have stopped being leader. Delayed
     * replies, a restart of the follower, and a candidate that claims that all members are fresh must not shorten the
     * follower's wait.
     */
    @ParameterizedTest
    @CsvSource({
        "0, false, false",
        "0, true, false",
        "15, false, false",
        "15, true, false",
        "0, false, true",
        "15, false, true"
    })
    void followerVotesOnlyAfterTheLeaseHasEnded(long replyDelayMillis, boolean restarts, boolean claimsAllFresh) {
        SimulatedGroup group = new SimulatedGroup(51, 3);
        group.maxDelay = 1;
        group.members.forEach(m -> m.changeRate(1));
        group.startAll();
        SimulatedMember leader = group.awaitLeader();
        SimulatedMember follower = other(group, leader, leader);
        SimulatedMember candidate = other(group, leader, follower);
        leader.changeRate(1 - SimulatedGroup.TIMING.driftPerMille() / 1000.0);
        follower.changeRate(1 + SimulatedGroup.TIMING.driftPerMille() / 1000.0);
        long candidateIdentity = candidate.node.identity();
        candidate.crash();
        group.slowLinks.put(follower.name + ">" + leader.name, replyDelayMillis * SimulatedGroup.MILLI);
        group.time.advance(500 * SimulatedGroup.MILLI);
        assertThat(leader.leads()).isTrue();
        long groupIdentity = leader.node
                .log()
                .snapshot()
                .orElseThrow()
                .membership()
                .members()
                .get(0)
                .identity();
        long term = leader.node.term() + 1;
        long lastSent = group.time.nanoTime();
        group.cutLinks.add(leader.name + ">" + follower.name);
        if (restarts) {
            follower.crash();
            follower.start();
        }
        follower.granted.clear();
        while (follower.granted.isEmpty()) {
            assertThat(group.time.nanoTime() - lastSent).isLessThan(1000 * SimulatedGroup.MILLI);
            RaftMessage.Envelope envelope = new RaftMessage.Envelope(
                    groupIdentity, candidateIdentity, follower.node.identity(), term, candidate.name);
            follower.receive(new VoteRequestMessage(envelope, false, Long.MAX_VALUE, Long.MAX_VALUE, claimsAllFresh));
            group.time.advance(STEP);
        }
        assertThat(leader.leads()).isFalse();
    }

    private static SimulatedMember other(SimulatedGroup group, SimulatedMember one, SimulatedMember two) {
        return group.members.stream()
                .filter(m -> m != one && m != two)
                .findFirst()
                .orElseThrow();
    }
}
