package org.copperspindle.engineload;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * What one node counted of the engines of a pool, sent to the load owner of the pool. The lists are parallel. Engines
 * that are not listed are unchanged, so a message without engines says that the node's counts still hold.
 *
 * @param pool          name of the pool
 * @param engines       ids of engines
 * @param waitingTokens prompt tokens that the node has sent and that have no first event yet
 * @param streams       running streams of the node
 * @param sampledTokens tokens ahead of and in the prompts whose first event came since the last message
 * @param sampledMillis sum of their times to the first event in milliseconds
 * @param longestPauses longest pause between events since the last message in milliseconds
 * @param samples       number of first events since the last message
 */
public record EngineSamplesMessage(
        String pool,
        List<String> engines,
        List<Long> waitingTokens,
        List<Long> streams,
        List<Long> sampledTokens,
        List<Long> sampledMillis,
        List<Long> longestPauses,
        List<Long> samples)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EngineSamplesMessage> CODEC =
            MessageCodec.of(243, EngineSamplesMessage.class, EngineSamplesMessage::write, EngineSamplesMessage::read);

    /** Copies the lists. */
    public EngineSamplesMessage {
        engines = List.copyOf(engines);
        waitingTokens = List.copyOf(waitingTokens);
        streams = List.copyOf(streams);
        sampledTokens = List.copyOf(sampledTokens);
        sampledMillis = List.copyOf(sampledMillis);
        longestPauses = List.copyOf(longestPauses);
        samples = List.copyOf(samples);
    }

    /** Returns whether the lists are parallel and all values are possible ones. */
    boolean isPlausible() {
        int count = engines.size();
        return ValueBounds.areIds(engines)
                && ValueBounds.areNumbers(waitingTokens, count, 0, ValueBounds.MAX_TOKENS)
                && ValueBounds.areNumbers(streams, count, 0, ValueBounds.MAX_STREAMS)
                && ValueBounds.areNumbers(sampledTokens, count, 0, ValueBounds.MAX_TOKENS)
                && ValueBounds.areNumbers(sampledMillis, count, 0, ValueBounds.MAX_MILLIS)
                && ValueBounds.areNumbers(longestPauses, count, 0, ValueBounds.MAX_MILLIS)
                && ValueBounds.areNumbers(samples, count, 0, ValueBounds.MAX_STREAMS);
    }

    private void write(FieldWriter out) {
        out.put(1, pool)
                .putStrings(2, engines)
                .put(3, PackedNumbers.pack(waitingTokens))
                .put(4, PackedNumbers.pack(streams))
                .put(5, PackedNumbers.pack(sampledTokens))
                .put(6, PackedNumbers.pack(sampledMillis))
                .put(7, PackedNumbers.pack(longestPauses))
                .put(8, PackedNumbers.pack(samples));
    }

    private static EngineSamplesMessage read(FieldReader in) {
        return new EngineSamplesMessage(
                in.getString(1),
                in.getStrings(2),
                PackedNumbers.unpack(in.getBytes(3)),
                PackedNumbers.unpack(in.getBytes(4)),
                PackedNumbers.unpack(in.getBytes(5)),
                PackedNumbers.unpack(in.getBytes(6)),
                PackedNumbers.unpack(in.getBytes(7)),
                PackedNumbers.unpack(in.getBytes(8)));
    }
}
