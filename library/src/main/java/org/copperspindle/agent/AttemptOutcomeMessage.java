package org.copperspindle.agent;

import org.copperspindle.verdict.Verdict;
import org.copperspindle.verdict.VerdictFactory;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * How an attempt ended, with the whole answer if it ran.
 *
 * @param attemptId the attempt
 * @param verdict whether it ran
 * @param status HTTP status of the upstream, 0 if it gave none
 * @param contentType content type of the body
 * @param body whole body; empty for an answer whose pieces were all sent on this connection before
 * @param complete whether the framing shows that the answer is whole
 * @param chunks pieces sent before, for a streamed answer
 * @param busyMicros time that the upstream spent
 * @param inFlight attempts running on the upstream now
 * @param reportedLoad load that the upstream reported last, -1 if it reports none
 * @param retryAfterMillis the upstream's own {@code Retry-After}, -1 if it gave none
 * @param loadAgeMillis age of {@code reportedLoad}, -1 if there is none
 * @param queued attempts waiting at the agent
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
        int reportedLoad,
        long retryAfterMillis,
        long loadAgeMillis,
        int queued)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AttemptOutcomeMessage> CODEC =
            MessageCodec.of(33, AttemptOutcomeMessage.class, AttemptOutcomeMessage::write, AttemptOutcomeMessage::read);

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates an outcome without the fields that not every sender knows.
     *
     * @param attemptId    the attempt
     * @param verdict      whether it ran
     * @param status       HTTP status of the upstream, 0 if it gave none
     * @param contentType  content type of the body
     * @param body         whole body
     * @param complete     whether the framing shows that the answer is whole
     * @param chunks       pieces sent before, for a streamed answer
     * @param busyMicros   time that the upstream spent
     * @param inFlight     attempts running on the upstream now
     * @param reportedLoad load that the upstream reported last, -1 if it reports none
     */
    public AttemptOutcomeMessage(
            String attemptId,
            Verdict verdict,
            int status,
            String contentType,
            byte[] body,
            boolean complete,
            long chunks,
            long busyMicros,
            int inFlight,
            int reportedLoad) {
        this(
                attemptId,
                verdict,
                status,
                contentType,
                body,
                complete,
                chunks,
                busyMicros,
                inFlight,
                reportedLoad,
                -1,
                -1,
                0);
    }

    /**
     * Makes the outcome of an attempt that has no answer.
     *
     * @param attemptId the attempt
     * @param verdict   whether it ran
     * @return the outcome
     */
    static AttemptOutcomeMessage withoutAnswer(String attemptId, Verdict verdict) {
        return new AttemptOutcomeMessage(attemptId, verdict, 0, "", NO_BODY, false, 0, 0, 0, -1);
    }

    /**
     * Adds the load at the time of sending.
     *
     * @param running attempts running on the upstream
     * @param waiting attempts waiting at the agent
     * @param load    load that the upstream reported last, -1 if none
     * @param age     its age in milliseconds, -1 if none
     * @return the outcome with the load
     */
    AttemptOutcomeMessage withLoad(int running, int waiting, int load, long age) {
        return new AttemptOutcomeMessage(
                attemptId,
                verdict,
                status,
                contentType,
                body,
                complete,
                chunks,
                busyMicros,
                running,
                load,
                retryAfterMillis,
                age,
                waiting);
    }

    /**
     * Leaves the body out, for a connection that got every piece of it.
     *
     * @return the outcome without its body
     */
    AttemptOutcomeMessage withoutBody() {
        return new AttemptOutcomeMessage(
                attemptId,
                verdict,
                status,
                contentType,
                NO_BODY,
                complete,
                chunks,
                busyMicros,
                inFlight,
                reportedLoad,
                retryAfterMillis,
                loadAgeMillis,
                queued);
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
                .put(11, reportedLoad)
                .put(12, retryAfterMillis)
                .put(13, loadAgeMillis)
                .put(14, queued);
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
                (int) in.getLong(11, 0),
                in.getLong(12, -1),
                in.getLong(13, -1),
                (int) in.getLong(14, 0));
    }
}
