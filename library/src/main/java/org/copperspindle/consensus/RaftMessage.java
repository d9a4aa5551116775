package org.copperspindle.consensus;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.WireMessage;

/**
 * A message between two members of a group.
 */
sealed interface RaftMessage extends WireMessage
        permits VoteRequestMessage,
                VoteReplyMessage,
                AppendRequestMessage,
                AppendReplyMessage,
                SnapshotChunkMessage,
                SnapshotReplyMessage {

    /** Returns who sent it, to whom, in which group and term. */
    Envelope envelope();

    /**
     * Returns whether the message may be large. A connection on which too many bytes wait takes no further message of
     * this kind.
     */
    default boolean isBulk() {
        return false;
    }

    /**
     * The addressing that every message between members carries.
     *
     * @param group   identity of the group
     * @param from    identity of the sender
     * @param to      identity of the receiver; a member with another identity at the same address ignores the message
     * @param term    the sender's term, or the term that a pre-vote is for
     * @param address IP:PORT of the sender, since a joining member doesn't know the others yet
     */
    record Envelope(long group, long from, long to, long term, String address) {

        FieldWriter write(FieldWriter out) {
            return out.put(1, group).put(2, from).put(3, to).put(4, term).put(5, address);
        }

        static Envelope read(FieldReader in) {
            return new Envelope(
                    in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0), in.getLong(4, 0), in.getString(5));
        }
    }
}
