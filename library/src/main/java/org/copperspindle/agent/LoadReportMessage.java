package org.copperspindle.agent;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Load of an idle or rarely used upstream, so that entries need not guess.
 *
 * @param upstreamId the upstream
 * @param sequence number of the report in this life of the agent
 * @param inFlight attempts running now
 * @param reportedLoad load that the upstream reported last, -1 if it reports none
 */
public record LoadReportMessage(String upstreamId, long sequence, int inFlight, int reportedLoad)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LoadReportMessage> CODEC =
            MessageCodec.of(36, LoadReportMessage.class, LoadReportMessage::write, LoadReportMessage::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, sequence).put(3, inFlight).put(4, reportedLoad);
    }

    private static LoadReportMessage read(FieldReader in) {
        return new LoadReportMessage(in.getString(1), in.getLong(2, 0), (int) in.getLong(3, 0), (int) in.getLong(4, 0));
    }
}
