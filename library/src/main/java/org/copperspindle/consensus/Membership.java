package org.copperspindle.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongPredicate;
import java.util.function.ToLongFunction;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The members of the group. A membership is in force as soon as it is in a member's log, committed or not.
 *
 * @param members voters and learners
 */
record Membership(List<Member> members) implements WireMessage {

    static final Membership EMPTY = new Membership(List.of());

    static final MessageCodec<Membership> CODEC =
            MessageCodec.of(61, Membership.class, Membership::write, Membership::read);

    Membership {
        members = List.copyOf(members);
    }

    List<Member> voters() {
        return members.stream().filter(Member::voter).toList();
    }

    Optional<Member> find(long identity) {
        return members.stream().filter(m -> m.identity() == identity).findFirst();
    }

    boolean hasVoter(long identity) {
        return find(identity).filter(Member::voter).isPresent();
    }

    int quorum() {
        return voters().size() / 2 + 1;
    }

    boolean isQuorum(LongPredicate agrees) {
        return voters().stream().filter(m -> agrees.test(m.identity())).count() >= quorum();
    }

    /** Returns the largest value that a quorum of voters has reached. */
    long reachedByQuorum(ToLongFunction<Member> value) {
        long[] values = voters().stream().mapToLong(value).sorted().toArray();
        return values.length == 0 ? Long.MIN_VALUE : values[values.length - quorum()];
    }

    Membership with(Member member) {
        List<Member> next = new ArrayList<>(without(member.identity()).members);
        next.add(member);
        return new Membership(next);
    }

    Membership without(long identity) {
        return new Membership(
                members.stream().filter(m -> m.identity() != identity).toList());
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    static Membership decode(byte[] bytes) {
        return CODEC.decodeNested(bytes);
    }

    private void write(FieldWriter out) {
        out.put(1, members.stream().map(Member::encode).toList());
    }

    private static Membership read(FieldReader in) {
        return new Membership(in.getList(1).stream().map(Member::decode).toList());
    }

    @Override
    public String toString() {
        return String.join(
                ",",
                members.stream()
                        .map(m -> m.label() + (m.voter() ? "" : "(learner)"))
                        .toList());
    }
}
