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
 * @param sampled       for each first event since the last message the index of its engine in the list
 * @param sampledTokens unread tokens of its prompt
 * @param sampledMillis time to the first event in milliseconds
 * @param sampleAges    time since the first event in milliseconds
 * @param longestPauses longest pause between events since the last message in milliseconds
 * @param sentTokens    prompt tokens sent to all engines of the pool since the last message
 */
public record EngineSamplesMessage(
        String pool,
        List<String> engines,
        List<Long> waitingTokens,
        List<Long> streams,
        List<Long> longestPauses,
        List<Long> sampled,
        List<Long> sampledTokens,
        List<Long> sampledMillis,
        List<Long> sampleAges,
        long sentTokens)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EngineSamplesMessage> CODEC =
            MessageCodec.of(243, EngineSamplesMessage.class, EngineSamplesMessage::write, EngineSamplesMessage::read);

    /** Copies the lists. */
    public EngineSamplesMessage {
        engines = List.copyOf(engines);
        waitingTokens = List.copyOf(waitingTokens);
        streams = List.copyOf(streams);
        longestPauses = List.copyOf(longestPauses);
        sampled = List.copyOf(sampled);
        sampledTokens = List.copyOf(sampledTokens);
        sampledMillis = List.copyOf(sampledMillis);
        sampleAges = List.copyOf(sampleAges);
    }

    /** Returns whether the lists are parallel and all values are possible ones. */
    boolean isPlausible() {
        int count = engines.size();
        int samples = sampled.size();
        return ValueBounds.areIds(engines)
                && ValueBounds.areNumbers(waitingTokens, count, 0, ValueBounds.MAX_TOKENS)
                && ValueBounds.areNumbers(streams, count, 0, ValueBounds.MAX_STREAMS)
                && ValueBounds.areNumbers(longestPauses, count, 0, ValueBounds.MAX_MILLIS)
                && samples <= ValueBounds.MAX_SAMPLES
                && ValueBounds.areNumbers(sampled, samples, 0, count - 1)
                && ValueBounds.areNumbers(sampledTokens, samples, 0, ValueBounds.MAX_TOKENS)
                && ValueBounds.areNumbers(sampledMillis, samples, 0, ValueBounds.MAX_MILLIS)
                && ValueBounds.areNumbers(sampleAges, samples, 0, ValueBounds.MAX_MILLIS)
                && ValueBounds.isWithin(sentTokens, 0, ValueBounds.MAX_TOKENS);
    }

    private void write(FieldWriter out) {
        out.put(1, pool)
                .putStrings(2, engines)
                .put(3, PackedNumbers.pack(waitingTokens))
                .put(4, PackedNumbers.pack(streams))
                .put(5, PackedNumbers.pack(sampledTokens))
                .put(6, PackedNumbers.pack(sampledMillis))
                .put(7, PackedNumbers.pack(longestPauses))
                .put(8, PackedNumbers.pack(sampled))
                .put(9, sentTokens)
                .put(10, PackedNumbers.pack(sampleAges));
    }

    private static EngineSamplesMessage read(FieldReader in) {
        return new EngineSamplesMessage(
                in.getString(1),
                in.getStrings(2),
                PackedNumbers.unpack(in.getBytes(3)),
                PackedNumbers.unpack(in.getBytes(4)),
                PackedNumbers.unpack(in.getBytes(7)),
                PackedNumbers.unpack(in.getBytes(8)),
                PackedNumbers.unpack(in.getBytes(5)),
                PackedNumbers.unpack(in.getBytes(6)),
                PackedNumbers.unpack(in.getBytes(10)),
                in.getLong(9, 0));
    }
}
