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
 * @param body whole body; for a streamed answer all pieces joined
 * @param complete whether the framing shows that the answer is whole
 * @param chunks pieces sent before, for a streamed answer
 * @param busyMicros time that the upstream spent
 * @param inFlight attempts running on the upstream now
 * @param reportedLoad load that the upstream reported last, -1 if it reports none
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
