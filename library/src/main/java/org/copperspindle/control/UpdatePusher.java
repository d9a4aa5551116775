package org.copperspindle.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;

import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.MembershipDelta;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;

/**
 * Sends members what they lack. Changes of a short time go out together, and not more than a stated number of bytes at
 * once: when a failure domain comes back, dozens of entries need the whole membership, and control's other messages
 * must not wait behind it.
 */
final class UpdatePusher {

    private static final long COALESCE_NANOS = Duration.ofMillis(3).toNanos();
    private static final int BYTES_AT_ONCE = 1 << 20;

    private final ControlState state;
    private final Collection<Member> members;
    private final LongSupplier term;
    private final DeferredTask flush;

    /**
     * Creates a pusher.
     *
     * @param timers  time
     * @param state   what members need
     * @param members live view of the members
     * @param term    current term, 0 while this member does not lead
     */
    UpdatePusher(TimerService timers, ControlState state, Collection<Member> members, LongSupplier term) {
        this.state = state;
        this.members = members;
        this.term = term;
        this.flush = new DeferredTask(timers, this::flush);
    }

    /** Pushes soon if a member lacks something. */
    void wakeFor(Member member) {
        if (lacks(member)) {
            wake();
        }
    }

    /** Pushes soon. */
    void wake() {
        flush.schedule(COALESCE_NANOS);
    }

    private void flush() {
        if (term.getAsLong() == 0) {
            return;
        }
        int budget = BYTES_AT_ONCE;
        for (Member member : members) {
            if (!lacks(member)) {
                continue;
            }
            if (budget <= 0 || !member.peer().isWritable()) {
                wake();
                continue;
            }
            budget -= push(member);
        }
    }

    private boolean lacks(Member member) {
        return member.textVersion() < state.config().version() || lacksMembership(member);
    }

    /** Agents look after their own upstream only. */
    private boolean lacksMembership(Member member) {
        return !member.isAgent()
                && member.membershipRevision() < state.upstreams().revision();
    }

    private int push(Member member) {
        long version = state.config().version();
        boolean config = member.textVersion() < version;
        byte[] patch = config ? state.config().patchFrom(member.textVersion()) : new byte[0];
        MembershipDelta delta = delta(member);
        boolean sent = member.peer()
                .send(new ControlUpdateMessage(
                        term.getAsLong(),
                        config ? version : 0,
                        "",
                        delta.full(),
                        delta.revision(),
                        delta.upstreams(),
                        delta.removed(),
                        patch));
        if (sent) {
            member.pushed(version, delta.revision());
        }
        return patch.length + delta.upstreams().stream().mapToInt(u -> u.length).sum();
    }

    private MembershipDelta delta(Member member) {
        long revision = state.upstreams().revision();
        return lacksMembership(member)
                ? state.upstreams().since(member.membershipRevision())
                : new MembershipDelta(false, revision, List.of(), List.of());
    }
}
