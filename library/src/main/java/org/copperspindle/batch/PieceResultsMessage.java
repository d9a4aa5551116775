package org.copperspindle.batch;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Outcomes of some pieces of a group, sent back to the node that submitted the group.
 *
 * @param group   id of the group
 * @param results outcomes; other pieces of the group may still be in progress
 */
public record PieceResultsMessage(long group, List<PieceResult> results) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PieceResultsMessage> CODEC =
            MessageCodec.of(232, PieceResultsMessage.class, PieceResultsMessage::write, PieceResultsMessage::read);

    /** Copies the list. */
    public PieceResultsMessage {
        results = List.copyOf(results);
    }

    /** Returns the message that pieces of a group were missed for one reason. */
    static PieceResultsMessage missed(long group, List<Integer> pieces, MissReason reason) {
        PieceOutcome outcome = new PieceOutcome.Missed(reason);
        return new PieceResultsMessage(
                group,
                pieces.stream().map(piece -> PieceResult.missed(piece, outcome)).toList());
    }

    private void write(FieldWriter out) {
        out.put(1, group).put(2, results.stream().map(PieceResult::encode).toList());
    }

    private static PieceResultsMessage read(FieldReader in) {
        return new PieceResultsMessage(
                in.getLong(1, 0),
                in.getList(2).stream().map(PieceResult::decode).toList());
    }
}
