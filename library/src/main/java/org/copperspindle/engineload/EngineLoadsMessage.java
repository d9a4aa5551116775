package org.copperspindle.engineload;

import java.util.List;
import java.util.Map;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Table of the engines of a pool, sent by the load owner to all nodes. The lists are parallel. Engines that are not
 * listed are unchanged.
 *
 * @param pool            name of the pool
 * @param engines         ids of engines
 * @param waitingTokens   prompt tokens without a first event, over all nodes
 * @param streams         running streams, over all nodes
 * @param paces           prompt-reading speeds in thousandths of the pool's median
 * @param longestPauses   recent longest pauses between events in milliseconds
 * @param tokensPerSecond median prompt-reading speed of the pool, 0 while it is not known
 * @param baseMillis      time to the first event beyond reading the prompt, in milliseconds
 * @param sentPerSecond   prompt tokens that all nodes send to the pool in a second
 * @param slowestPace     pace of the slowest engine as far as it is certain, in thousandths of the median
 */
public record EngineLoadsMessage(
        String pool,
        List<String> engines,
        List<Long> waitingTokens,
        List<Long> streams,
        List<Long> paces,
        List<Long> longestPauses,
        long tokensPerSecond,
        long baseMillis,
        long sentPerSecond,
        long slowestPace)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EngineLoadsMessage> CODEC =
            MessageCodec.of(244, EngineLoadsMessage.class, EngineLoadsMessage::write, EngineLoadsMessage::read);

    /** Copies the lists. */
    public EngineLoadsMessage {
        engines = List.copyOf(engines);
        waitingTokens = List.copyOf(waitingTokens);
        streams = List.copyOf(streams);
        paces = List.copyOf(paces);
        longestPauses = List.copyOf(longestPauses);
    }

    static EngineLoadsMessage of(
            String pool,
            Map<String, EngineLoad> loads,
            long tokensPerSecond,
            long baseMillis,
            long sentPerSecond,
            long slowestPace) {
        List<EngineLoad> values = List.copyOf(loads.values());
        return new EngineLoadsMessage(
                pool,
                List.copyOf(loads.keySet()),
                values.stream().map(EngineLoad::waitingTokens).toList(),
                values.stream().map(EngineLoad::streams).toList(),
                values.stream().map(EngineLoad::paceThousandths).toList(),
                values.stream().map(EngineLoad::longestPauseMillis).toList(),
                tokensPerSecond,
                baseMillis,
                sentPerSecond,
                slowestPace);
    }

    /** Returns one entry of the lists. */
    EngineLoad load(int index) {
        return new EngineLoad(waitingTokens.get(index), streams.get(index), paces.get(index), longestPauses.get(index));
    }

    /** Returns whether the lists are parallel and all values are possible ones. */
    boolean isPlausible() {
        int count = engines.size();
        return ValueBounds.areIds(engines)
                && ValueBounds.areNumbers(waitingTokens, count, 0, ValueBounds.MAX_TOKENS)
                && ValueBounds.areNumbers(streams, count, 0, ValueBounds.MAX_STREAMS)
                && ValueBounds.areNumbers(paces, count, 1, ValueBounds.MAX_PACE)
                && ValueBounds.areNumbers(longestPauses, count, 0, ValueBounds.MAX_MILLIS)
                && ValueBounds.isWithin(tokensPerSecond, 0, ValueBounds.MAX_TOKENS)
                && ValueBounds.isWithin(baseMillis, 0, ValueBounds.MAX_MILLIS)
                && ValueBounds.isWithin(sentPerSecond, 0, ValueBounds.MAX_TOKENS)
                && ValueBounds.isWithin(slowestPace, 1, ValueBounds.MAX_PACE);
    }

    private void write(FieldWriter out) {
        out.put(1, pool)
                .putStrings(2, engines)
                .put(3, PackedNumbers.pack(waitingTokens))
                .put(4, PackedNumbers.pack(streams))
                .put(5, PackedNumbers.pack(paces))
                .put(6, PackedNumbers.pack(longestPauses))
                .put(7, tokensPerSecond)
                .put(8, baseMillis)
                .put(9, sentPerSecond)
                .put(10, slowestPace);
    }

    private static EngineLoadsMessage read(FieldReader in) {
        return new EngineLoadsMessage(
                in.getString(1),
                in.getStrings(2),
                PackedNumbers.unpack(in.getBytes(3)),
                PackedNumbers.unpack(in.getBytes(4)),
                PackedNumbers.unpack(in.getBytes(5)),
                PackedNumbers.unpack(in.getBytes(6)),
                in.getLong(7, 0),
                in.getLong(8, 0),
                in.getLong(9, 0),
                in.getLong(10, EngineLoad.MEDIAN_PACE));
    }
}
