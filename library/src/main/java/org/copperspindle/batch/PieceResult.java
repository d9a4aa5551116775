package org.copperspindle.batch;

import java.util.Optional;

import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The outcome of one piece of a group.
 *
 * @param piece    its number
 * @param outcome  its outcome
 * @param producer the upstream that made it; {@link UpstreamIncarnation#UNKNOWN} if it was missed
 */
public record PieceResult(int piece, PieceOutcome outcome, UpstreamIncarnation producer) implements WireMessage {

    private static final MessageCodec<PieceResult> CODEC =
            MessageCodec.of(231, PieceResult.class, PieceResult::write, PieceResult::read);

    /**
     * Returns the result that is reported to the request. A piece for which there was no room was requeued unless its
     * inputs have been released; sent again without them, the next call would only report them as gone.
     */
    static PieceResult reported(int piece, PieceOutcome outcome, UpstreamIncarnation producer) {
        if (outcome instanceof PieceOutcome.Made) {
            return new PieceResult(piece, outcome, producer);
        }
        boolean isWithoutRoom = outcome.isMissedFor(MissReason.NO_ROOM);
        return missed(piece, isWithoutRoom ? new PieceOutcome.Missed(MissReason.INPUT_GONE) : outcome);
    }

    /** Returns the result of a piece that no upstream made. */
    static PieceResult missed(int piece, PieceOutcome outcome) {
        return new PieceResult(piece, outcome, UpstreamIncarnation.UNKNOWN);
    }

    /**
     * Returns what was made.
     *
     * @return the result; empty if the piece was missed
     */
    public Optional<StageResult> made() {
        return outcome instanceof PieceOutcome.Made made
                ? Optional.of(new StageResult(made.handle(), producer))
                : Optional.empty();
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    static PieceResult decode(byte[] bytes) {
        return CODEC.decodeNested(bytes);
    }

    private void write(FieldWriter out) {
        out.put(1, piece);
        if (outcome instanceof PieceOutcome.Made made) {
            out.put(2, made.handle()).put(4, producer.encode());
        } else if (outcome instanceof PieceOutcome.Missed missed) {
            out.put(3, missed.reason().ordinal());
        }
    }

    private static PieceResult read(FieldReader in) {
        PieceOutcome outcome = in.findString(2)
                .<PieceOutcome>map(PieceOutcome.Made::new)
                .orElseGet(() -> new PieceOutcome.Missed(MissReason.of(in.getLong(3, 3))));
        return new PieceResult((int) in.getLong(1, 0), outcome, UpstreamIncarnation.decode(in.getString(4)));
    }
}
