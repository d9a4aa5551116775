package org.copperspindle.agent;

import org.copperspindle.verdict.Verdict;
import org.copperspindle.verdict.VerdictFactory;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The end of an attempt. Kept by the agent until it is acknowledged.
 *
 * @param attemptId the attempt
 * @param verdict whether it ran
 * @param status HTTP status of the upstream, 0 if it gave none
 * @param contentType content type of the body
 * @param body whole body; empty for a streamed answer whose pieces were all sent on this connection before
 * @param complete whether the framing shows that the answer is whole
 * @param chunks pieces sent before, for a streamed answer
 * @param busyMicros time that the upstream spent
 * @param inFlight attempts running or waiting at the agent now, from all entries
 * @param reportedLoad load that the upstream reported last, -1 if it reports none or that is too old
 */
public record AttemptOutcomeMessage(
        String attemptId,
        Verdict verdict,
        int status,
        String contentType,
        byte[] body,
        boolean complete,
        long chunks,
        long busyMicros,
        int inFlight,
        int reportedLoad)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AttemptOutcomeMessage> CODEC =
            MessageCodec.of(33, AttemptOutcomeMessage.class, AttemptOutcomeMessage::write, AttemptOutcomeMessage::read);

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Makes the outcome of an attempt that has no answer.
     *
     * @param attemptId the attempt
     * @param verdict   whether it ran
     * @return the outcome
     */
    public static AttemptOutcomeMessage withoutAnswer(String attemptId, Verdict verdict) {
        return new AttemptOutcomeMessage(attemptId, verdict, 0, "", NO_BODY, false, 0, 0, -1, -1);
    }

    /**
     * Adds the load at the time of sending.
     *
     * @param attempts attempts running or waiting at the agent
     * @param load     load that the upstream reported last, -1 if none
     * @return the outcome with the load
     */
    AttemptOutcomeMessage withLoad(int attempts, int load) {
        return new AttemptOutcomeMessage(
                attemptId, verdict, status, contentType, body, complete, chunks, busyMicros, attempts, load);
    }

    /**
     * Leaves the body out, for a connection that got every piece of it.
     *
     * @return the outcome without its body
     */
    AttemptOutcomeMessage withoutBody() {
        return new AttemptOutcomeMessage(
                attemptId, verdict, status, contentType, NO_BODY, complete, chunks, busyMicros, inFlight, reportedLoad);
    }

    private void write(FieldWriter out) {
        out.put(1, attemptId)
                .put(2, verdict.label())
                .put(3, verdict.reason())
                .put(4, status)
                .put(5, contentType)
                .put(6, body)
                .put(7, complete)
                .put(8, chunks)
                .put(9, busyMicros)
                .put(10, inFlight)
                .put(11, reportedLoad);
    }

    private static AttemptOutcomeMessage read(FieldReader in) {
        return new AttemptOutcomeMessage(
                in.getString(1),
                VerdictFactory.of(in.getString(2), in.getString(3)),
                (int) in.getLong(4, 0),
                in.getString(5),
                in.getBytes(6),
                in.getBoolean(7),
                in.getLong(8, 0),
                in.getLong(9, 0),
                (int) in.getLong(10, 0),
                (int) in.getLong(11, 0));
    }
}
