package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;

/**
 * Request for a vote or a pre-vote.
 *
 * @param envelope  addressing; the term is the one that the candidate wants to lead
 * @param preVote   true to ask only whether a vote would be given, which changes nothing at the receiver
 * @param lastIndex index of the candidate's last entry
 * @param lastTerm  term of that entry
 * @param allFresh  true if all voters have told the candidate that they have heard no leader since they started
 */
record VoteRequestMessage(Envelope envelope, boolean preVote, long lastIndex, long lastTerm, boolean allFresh)
        implements RaftMessage {

    static final MessageCodec<VoteRequestMessage> CODEC =
            MessageCodec.of(64, VoteRequestMessage.class, VoteRequestMessage::write, VoteRequestMessage::read);

    private void write(FieldWriter out) {
        envelope.write(out)
                .put(10, preVote)
                .put(11, lastIndex)
                .put(12, lastTerm)
                .put(13, allFresh);
    }

    private static VoteRequestMessage read(FieldReader in) {
        return new VoteRequestMessage(
                Envelope.read(in), in.getBoolean(10), in.getLong(11, 0), in.getLong(12, 0), in.getBoolean(13));
    }
}
