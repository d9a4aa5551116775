package org.copperspindle.consensus;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests one leader message by message.
 */
class LeaderCommitTest {

    private static final long GROUP = 1;
    private static final RaftTiming TIMING = SimulatedGroup.TIMING;
    private static final long OLD_ENTRY = 2;
    private static final long OWN_ENTRY = 3;

    private long now;
    private long term;
    private RaftNode node;

    /** Creates a leader whose log ends with an entry of an older term that is not known to be committed. */
    @BeforeEach
    void elect() {
        List<RaftSettings.Voter> voters = List.of(
                new RaftSettings.Voter("m1", "m1"),
                new RaftSettings.Voter("m2", "m2"),
                new RaftSettings.Voter("m3", "m3"));
        Membership membership = new Membership(List.of(member(1), member(2), member(3)));
        RecoveredState recovered = new RecoveredState(
                new HardState(1, "m1", GROUP, 4, 0),
                Optional.of(LogSnapshot.bootstrap(membership)),
                List.of(new LogEntry(OLD_ENTRY, 2, EntryKind.COMMAND, new byte[0])));
        RaftSettings settings = new RaftSettings("g", "m1", "m1", "m1", voters, TIMING, RaftLimits.DEFAULT);
        node = new RaftNode(settings, recovered, new SplittableRandom(1), now);
        now += 2 * TIMING.electionNanos();
        node.tick(now);
        node.receive(new VoteReplyMessage(from(2, 4), true, 5, true, false), now);
        executeActions();
        term = node.term();
        node.receive(new VoteReplyMessage(from(2, term), false, term, true, false), now);
        executeActions();
        assertThat(node.role()).isEqualTo(RaftRole.LEADER);
    }

    /**
     * A quorum holds an entry of an older term, and no entry of this term yet. Another member with a newer entry at the
     * same index may still be elected and replace it: if it were counted as committed, an accepted change could be
     * lost.
     */
    @Test
    void entryOfOlderTermCommitsOnlyUnderOneOfThisTerm() {
        node.receive(new AppendReplyMessage(from(2, term), true, OLD_ENTRY, now), now);
        assertThat(node.commit()).isEqualTo(LogSnapshot.BOOTSTRAP_INDEX);
        assertThat(node.leads(now)).isFalse();
        node.receive(new AppendReplyMessage(from(2, term), true, OWN_ENTRY, now), now);
        assertThat(node.commit()).isEqualTo(OWN_ENTRY);
        assertThat(node.leads(now)).isTrue();
    }

    /**
     * Two membership changes at once, or one before an entry of the leader's own term is committed, could lead to two
     * quorums that share no member, and so to two leaders at once.
     */
    @Test
    void membershipChangesWaitForEachOther() {
        assertThat(node.remove("m3", now)).isFalse();
        node.receive(new AppendReplyMessage(from(2, term), true, OWN_ENTRY, now), now);
        assertThat(node.remove("m3", now)).isTrue();
        assertThat(node.remove("m2", now)).isFalse();
        executeActions();
        node.receive(new AppendReplyMessage(from(2, term), true, OWN_ENTRY + 1, now), now);
        assertThat(node.remove("m2", now)).isTrue();
    }

    private void executeActions() {
        for (RaftAction action : node.drain()) {
            if (action instanceof RaftAction.Persist persist) {
                node.persisted(persist.sequence(), now);
            }
        }
    }

    private static Member member(long identity) {
        String name = "m" + identity;
        return new Member(identity, name, name, name, true);
    }

    private static RaftMessage.Envelope from(long identity, long inTerm) {
        return new RaftMessage.Envelope(GROUP, identity, 1, inTerm, "m" + identity);
    }
}
