package org.copperspindle.control;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * The log that makes accepted state stay accepted. Called on the decision ring only.
 */
public interface ReplicatedLog extends AutoCloseable {

    /**
     * Says whether this member leads and its lease, counted on its own monotonic clock, still runs.
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
     * Returns the operators' address of the leader.
     *
     * @return IP:PORT, if a leader is known
     */
    Optional<String> leaderAddress();

    /**
     * Returns the address of the leader for the system's own protocol.
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
     * Says whether this member still takes part.
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
     * @param callback told once, on the decision ring, how it ended
     */
    void propose(byte[] command, Consumer<ProposalResult> callback);

    @Override
    void close();
}
