package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;

import org.copperspindle.backpressure.BackoffSignal;
import org.copperspindle.backpressure.LimitSignal;
import org.copperspindle.backpressure.UpstreamLoadSignal;
import org.copperspindle.direct.DirectCall;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.http.HeaderField;

/**
 * Writes calls to upstreams and interprets the heads of their responses.
 */
public interface UpstreamDialect {

    /**
     * Writes an attempt.
     *
     * @param attempt the attempt
     * @return the call
     */
    DirectCall write(AttemptSpec attempt);

    /**
     * Returns whether a response proves that the attempt did not run and never will.
     *
     * @param head head of the response
     * @return false if it ran or may have run
     */
    boolean provesNotRun(DirectHead head);

    /**
     * Returns whether a response reports that stage results which the attempt needs no longer exist.
     *
     * @param head head of the response
     * @return true if the results have to be produced again
     */
    boolean reportsMissingInputs(DirectHead head);

    /**
     * Returns the upstream that responded instead of the intended one.
     *
     * @param head head of the response
     * @return its id; empty if the intended upstream responded
     */
    Optional<String> otherUpstream(DirectHead head);

    /**
     * Returns whether another upstream than the intended one responded.
     *
     * @param head head of the response
     * @return true also if that upstream does not name itself
     */
    boolean isMisdirected(DirectHead head);

    /**
     * Reads the rate limit of the upstream that responded: the requests per second that it takes from all nodes
     * together.
     *
     * @param head head of the response
     * @return the limit signal
     */
    LimitSignal limit(DirectHead head);

    /**
     * Reads for how long the upstream that responded requests a backoff of this node.
     *
     * @param head head of the response
     * @return the backoff signal
     */
    BackoffSignal backoff(DirectHead head);

    /**
     * Reads what the upstream that responded states of its load.
     *
     * @param head head of the response
     * @return the load signal
     */
    UpstreamLoadSignal load(DirectHead head);

    /**
     * Returns whether the upstream that responded is about to leave.
     *
     * @param head head of the response
     * @return true if it finishes what it has and accepts nothing new from any node
     */
    boolean isLeaving(DirectHead head);

    /**
     * Returns the header fields that are forwarded to the caller.
     *
     * @param head head of the response
     * @return its fields without those of the upstream's connection
     */
    List<HeaderField> callerFields(DirectHead head);
}
