package org.copperspindle.consensus;

import java.util.List;
import java.util.OptionalInt;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs at the leader how many more voters its group can lose, and how far the members are that don't vote yet. A group
 * that can lose no voter is one failure away from having no leader.
 */
final class GroupRedundancy {

    private static final Logger LOGGER = LogManager.getLogger(GroupRedundancy.class);

    private final RaftState state;
    private final Replication replication;
    private OptionalInt spare = OptionalInt.empty();
    private long learnersLoggedAt;

    GroupRedundancy(RaftState state, Replication replication) {
        this.state = state;
        this.replication = replication;
    }

    /** Starts a term of leadership. */
    void start(long now) {
        spare = OptionalInt.empty();
        learnersLoggedAt = now;
    }

    /** Called while this member leads. */
    void tick(long now) {
        logSpareVoters(now);
        logLearners(now);
    }

    /** Returns how many more voters the group can lose, empty before the first tick of a term. */
    OptionalInt spareVoters() {
        return spare;
    }

    private void logSpareVoters(long now) {
        long within = state.settings().timing().electionNanos();
        List<Member> voters = state.membership().voters();
        List<String> silent = voters.stream()
                .filter(voter -> !replication.hasHeardFrom(voter, now, within))
                .map(Member::label)
                .toList();
        int current = voters.size() - silent.size() - state.membership().quorum();
        if (spare.isPresent() && spare.getAsInt() == current) {
            return;
        }
        spare = OptionalInt.of(current);
        LOGGER.log(
                current > 0 || voters.size() == 1 ? Level.INFO : Level.WARN,
                "event=spare-voters member={} term={} voters={} spare={} silent={}",
                state.settings().name(),
                state.term(),
                voters.size(),
                current,
                silent);
    }

    private void logLearners(long now) {
        if (now - learnersLoggedAt < state.settings().timing().electionNanos()) {
            return;
        }
        learnersLoggedAt = now;
        state.membership().members().stream()
                .filter(member -> !member.voter())
                .forEach(learner -> LOGGER.info(
                        "event=learner-waits member={} last={} {}",
                        learner.label(),
                        state.log().lastIndex(),
                        replication.describe(learner, now)));
    }
}
