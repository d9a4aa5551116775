package org.copperspindle.agent;

import org.copperspindle.wire.Peer;

/**
 * What the attempt table asks its agent to do, in order.
 */
public sealed interface AgentAction {

    /**
     * Call the upstream.
     *
     * @param order the order
     * @param from  connection that ordered it; pieces of a streamed answer go there
     */
    record Start(AttemptOrderMessage order, Peer from) implements AgentAction {}

    /**
     * Send an outcome.
     *
     * @param to      who asked
     * @param outcome the outcome, without the load
     */
    record Send(Peer to, AttemptOutcomeMessage outcome) implements AgentAction {}

    /**
     * End a call to the upstream. Its end is reported to the table as any other.
     *
     * @param attemptId the attempt
     * @param reason    why
     */
    record Abort(String attemptId, String reason) implements AgentAction {}
}
