package org.copperspindle.control;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;

/**
 * Replicated log of commands; a committed command survives the loss of members. Called on the decision ring only.
 */
public interface ReplicatedLog extends AutoCloseable {

    /**
     * Returns whether this member leads and its leader lease, measured by its own monotonic clock, has not expired.
     *
     * @return true if it may answer from its own state
     */
    boolean leads();

    /**
     * Returns the current term.
     *
     * @return the term, larger for each leader
     */
    long term();

    /**
     * Returns the leader's address for operators.
     *
     * @return IP:PORT, if a leader is known
     */
    Optional<String> leaderAddress();

    /**
     * Returns the leader's address for the internal protocol.
     *
     * @return IP:PORT, if a leader is known
     */
    default Optional<String> leaderWireAddress() {
        return Optional.empty();
    }

    /**
     * Returns the name of the leader.
     *
     * @return its name from its settings, if a leader is known
     */
    default Optional<String> leaderName() {
        return Optional.empty();
    }

    /**
     * Describes the members of the log, for operators.
     *
     * @return names and identities, empty if the log has one member only
     */
    default String describeMembers() {
        return "";
    }

    /**
     * Returns how many more voters can be lost before there is no leader.
     *
     * @return the number, below 0 while a quorum doesn't reply; empty unless this member leads
     */
    default OptionalInt spareVoters() {
        return OptionalInt.empty();
    }

    /**
     * Returns whether this member still participates.
     *
     * @return false after its disk has failed or it was closed
     */
    default boolean isRunning() {
        return true;
    }

    /**
     * Proposes a command.
     *
     * @param command  its bytes
     * @param callback called once, on the decision ring, with the result
     */
    void propose(byte[] command, Consumer<ProposalResult> callback);

    /**
     * Confirms that this member leads after this call, and that the state holds all commands that were acknowledged
     * before it. Needs the replies of a quorum, but no disk.
     *
     * @param callback called once, on the decision ring; receives false if this member does not lead, or no longer
     */
    default void confirm(Consumer<Boolean> callback) {
        callback.accept(leads());
    }

    @Override
    void close();
}
