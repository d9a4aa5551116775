package org.copperspindle.agent;

import org.copperspindle.verdict.Verdict;
import org.copperspindle.verdict.VerdictFactory;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The outcome of an attempt. Kept by the agent until it is acknowledged.
 *
 * @param attemptId the attempt
 * @param verdict whether it ran
 * @param status HTTP status of the upstream, 0 if it sent none
 * @param contentType content type of the body
 * @param body whole body; empty for a streamed response whose chunks were all sent on this connection before
 * @param complete whether the HTTP framing shows that the response is whole
 * @param chunks number of chunks sent before, for a streamed response
 * @param busyMicros time that the upstream spent
 * @param inFlight attempts of all entries running or waiting at the agent now
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
     * Creates the outcome of an attempt without a response.
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
     * Removes the body, for a connection that received all of its chunks.
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
