package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Load and clock of an agent, sent when an entry subscribes and periodically afterwards.
 *
 * @param upstreamId the upstream
 * @param sequence number of the report in this incarnation of the agent
 * @param inFlight attempts running now
 * @param reportedLoad load that the upstream reported last, -1 if it reports none
 * @param agentIncarnation incarnation of the agent
 * @param clockMicros reading of the clock of this incarnation, always above 0
 * @param queued attempts waiting at the agent
 * @param loadAgeMillis age of {@code reportedLoad}, -1 if there is none
 * @param refusing whether the agent refuses new work now
 */
public record LoadReportMessage(
        String upstreamId,
        long sequence,
        int inFlight,
        int reportedLoad,
        long agentIncarnation,
        long clockMicros,
        int queued,
        long loadAgeMillis,
        boolean refusing)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LoadReportMessage> CODEC =
            MessageCodec.of(36, LoadReportMessage.class, LoadReportMessage::write, LoadReportMessage::read);

    LoadReportMessage numbered(long number) {
        return new LoadReportMessage(
                upstreamId,
                number,
                inFlight,
                reportedLoad,
                agentIncarnation,
                clockMicros,
                queued,
                loadAgeMillis,
                refusing);
    }

    private void write(FieldWriter out) {
        out.put(1, upstreamId)
                .put(2, sequence)
                .put(3, inFlight)
                .put(4, reportedLoad)
                .put(5, agentIncarnation)
                .put(6, clockMicros)
                .put(7, queued)
                .put(8, loadAgeMillis)
                .put(9, refusing);
    }

    private static LoadReportMessage read(FieldReader in) {
        return new LoadReportMessage(
                in.getString(1),
                in.getLong(2, 0),
                (int) in.getLong(3, 0),
                (int) in.getLong(4, 0),
                in.getLong(5, 0),
                in.getLong(6, 0),
                (int) in.getLong(7, 0),
                in.getLong(8, -1),
                in.getBoolean(9));
    }
}
