package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;

import org.copperspindle.backpressure.BackoffSignal;
import org.copperspindle.backpressure.LimitSignal;
import org.copperspindle.direct.DirectCall;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.http.HeaderField;

/**
 * How upstreams are told what to run, and what their answers prove.
 */
public interface UpstreamDialect {

    /**
     * Writes an attempt.
     *
     * @param order the attempt
     * @return the call
     */
    DirectCall write(AttemptSpec order);

    /**
     * Says whether an answer proves that the attempt did not run and never will.
     *
     * @param head the answer's head
     * @return false if it ran or may have run
     */
    boolean provesNotRun(DirectHead head);

    /**
     * Says whether an answer tells that stage results which the attempt needs no longer exist.
     *
     * @param head the answer's head
     * @return true if they have to be made again
     */
    boolean reportsMissingInputs(DirectHead head);

    /**
     * Finds the upstream that answered in place of the one that was meant.
     *
     * @param head the answer's head
     * @return its id, empty if the one that was meant answered
     */
    Optional<String> otherUpstream(DirectHead head);

    /**
     * Reads how many requests a second the upstream that answered takes from all nodes together.
     *
     * @param head the answer's head
     * @return what it says of it
     */
    LimitSignal limit(DirectHead head);

    /**
     * Reads for how long the upstream that answered wants nothing more from this node.
     *
     * @param head the answer's head
     * @return what it says of it
     */
    BackoffSignal backoff(DirectHead head);

    /**
     * Says whether the upstream that answered is about to leave.
     *
     * @param head the answer's head
     * @return true if it finishes what it has and wants nothing new from anybody
     */
    boolean isLeaving(DirectHead head);

    /**
     * Chooses the header fields that go back to the caller.
     *
     * @param head the answer's head
     * @return its fields but those of the upstream's connection
     */
    List<HeaderField> callerFields(DirectHead head);
}
