package org.copperspindle.agent;

import org.copperspindle.wire.Peer;

/**
 * An action that the attempt table returns and the agent performs, in order.
 */
public sealed interface AgentAction {

    /**
     * Call the upstream.
     *
     * @param order the order
     * @param from  connection that the order came on; chunks of a streamed response are sent there
     */
    record Start(AttemptOrderMessage order, Peer from) implements AgentAction {}

    /**
     * Send an outcome.
     *
     * @param to      connection to send it on
     * @param outcome the outcome, without the current load
     */
    record Send(Peer to, AttemptOutcomeMessage outcome) implements AgentAction {}

    /**
     * Abort a call to the upstream. Its end is reported to the table like any other.
     *
     * @param attemptId the attempt
     * @param reason    reason of the abort
     */
    record Abort(String attemptId, String reason) implements AgentAction {}
}
