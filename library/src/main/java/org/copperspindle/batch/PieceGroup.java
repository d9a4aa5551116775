package org.copperspindle.batch;

import java.util.List;
import java.util.stream.IntStream;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * All pieces of one stage of one request, sent to the dispatcher of the stage's pool.
 *
 * @param id             id of the group at the node that sends it
 * @param requestId      id of the request
 * @param stage          index of the stage in the request's route
 * @param pool           pool that runs the pieces
 * @param pieces         number of pieces, numbered from 0
 * @param missing        numbers of the pieces that have no result yet
 * @param key            key of the request's pieces for a stage that starts from the request, else empty
 * @param inputs         results that every piece needs, for a stage that follows others
 * @param rank           urgency of the request, 0 first
 * @param slackMillis    time left in which the pieces must complete for the request to meet its objective; negative
 *                       if it no longer can
 * @param deadlineMillis time left until the result is of no use any more
 * @param resultBytes    approximate size of one result
 * @param inputBytes     approximate size of all inputs together; each piece fetches them
 * @param readerDomain   failure domain in which the results will be read; empty if that is not known yet
 * @param ownsInputs     true if nobody else reads the inputs, so that the dispatcher releases them
 * @param resumed        true if the request's stream was interrupted and its caller waits for the next event
 */
public record PieceGroup(
        long id,
        String requestId,
        int stage,
        String pool,
        int pieces,
        List<Integer> missing,
        String key,
        List<StageResult> inputs,
        int rank,
        long slackMillis,
        long deadlineMillis,
        long resultBytes,
        long inputBytes,
        String readerDomain,
        boolean ownsInputs,
        boolean resumed)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PieceGroup> CODEC =
            MessageCodec.of(230, PieceGroup.class, PieceGroup::write, PieceGroup::read);

    /** Copies the lists. */
    public PieceGroup {
        missing = List.copyOf(missing);
        inputs = List.copyOf(inputs);
    }

    /**
     * Returns the same group with the elapsed time subtracted.
     *
     * @param elapsedMillis time that has passed since it was created
     * @param remaining     pieces that have no result yet
     * @return the group to send now
     */
    public PieceGroup withElapsed(long elapsedMillis, List<Integer> remaining) {
        return new PieceGroup(
                id,
                requestId,
                stage,
                pool,
                pieces,
                remaining,
                key,
                inputs,
                rank,
                slackMillis - elapsedMillis,
                deadlineMillis - elapsedMillis,
                resultBytes,
                inputBytes,
                readerDomain,
                ownsInputs,
                resumed);
    }

    private void write(FieldWriter out) {
        // A byte per piece: the numbers are few and small, and one byte string per missing piece would cost more.
        byte[] set = new byte[pieces];
        missing.forEach(piece -> set[piece] = 1);
        out.put(1, id)
                .put(2, requestId)
                .put(3, stage)
                .put(4, pool)
                .put(5, set)
                .put(6, key)
                .put(8, rank)
                .put(9, slackMillis)
                .put(10, deadlineMillis)
                .put(11, resultBytes)
                .put(12, inputBytes)
                .put(13, ownsInputs ? 1 : 0)
                .put(14, readerDomain);
        if (resumed) {
            out.put(15, true);
        }
        StageResult.write(out, 7, 16, inputs);
    }

    private static PieceGroup read(FieldReader in) {
        byte[] set = in.getBytes(5);
        return new PieceGroup(
                in.getLong(1, 0),
                in.getString(2),
                (int) in.getLong(3, 0),
                in.getString(4),
                set.length,
                IntStream.range(0, set.length).filter(i -> set[i] != 0).boxed().toList(),
                in.getString(6),
                StageResult.read(in, 7, 16),
                (int) in.getLong(8, 0),
                in.getLong(9, 0),
                in.getLong(10, 0),
                in.getLong(11, 0),
                in.getLong(12, 0),
                in.getString(14),
                in.getLong(13, 0) != 0,
                in.getBoolean(15));
    }
}
