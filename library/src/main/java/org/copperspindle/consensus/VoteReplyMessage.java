package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;

/**
 * Reply to a {@link VoteRequestMessage}.
 *
 * @param envelope addressing; the term is the voter's own
 * @param preVote  as in the request
 * @param forTerm  term of the request
 * @param granted  true if the vote is given
 * @param fresh    true if the voter would vote for the candidate and has heard no leader since it started
 */
record VoteReplyMessage(Envelope envelope, boolean preVote, long forTerm, boolean granted, boolean fresh)
        implements RaftMessage {

    static final MessageCodec<VoteReplyMessage> CODEC =
            MessageCodec.of(65, VoteReplyMessage.class, VoteReplyMessage::write, VoteReplyMessage::read);

    private void write(FieldWriter out) {
        envelope.write(out).put(10, preVote).put(11, forTerm).put(12, granted).put(13, fresh);
    }

    private static VoteReplyMessage read(FieldReader in) {
        return new VoteReplyMessage(
                Envelope.read(in), in.getBoolean(10), in.getLong(11, 0), in.getBoolean(12), in.getBoolean(13));
    }
}
