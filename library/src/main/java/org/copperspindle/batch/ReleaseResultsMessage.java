package org.copperspindle.batch;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Results that are no longer needed; sent to the dispatcher of the pool that produced them. Around a takeover it is
 * sent to both the dispatcher and the standby, of which one releases the results and the other accounts for it.
 *
 * @param pool          pool that produced them
 * @param results       the results
 * @param accountedOnly true if another node sends the request to their producers
 */
public record ReleaseResultsMessage(String pool, List<StageResult> results, boolean accountedOnly)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ReleaseResultsMessage> CODEC = MessageCodec.of(
            234, ReleaseResultsMessage.class, ReleaseResultsMessage::write, ReleaseResultsMessage::read);

    /** Copies the list. */
    public ReleaseResultsMessage {
        results = List.copyOf(results);
    }

    private void write(FieldWriter out) {
        out.put(1, pool).put(3, accountedOnly);
        StageResult.write(out, 2, 4, results);
    }

    private static ReleaseResultsMessage read(FieldReader in) {
        return new ReleaseResultsMessage(in.getString(1), StageResult.read(in, 2, 4), in.getBoolean(3));
    }
}
