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
 * Pushes configuration and membership updates to members that are behind. Changes within a few milliseconds are sent
 * together, and the bytes sent at once are limited: when a failure domain comes back, dozens of entries need the full
 * membership, and other messages of control must not wait behind it.
 */
final class UpdatePusher {

    private static final long COALESCE_NANOS = Duration.ofMillis(3).toNanos();
    private static final int MAX_BYTES_PER_FLUSH = 1 << 20;

    private final ControlState state;
    private final Collection<Member> members;
    private final LongSupplier term;
    private final DeferredTask flush;

    /**
     * Creates a pusher.
     *
     * @param timers  timer service
     * @param state   state that is pushed
     * @param members live view of the members
     * @param term    current term, 0 while this member does not lead
     */
    UpdatePusher(TimerService timers, ControlState state, Collection<Member> members, LongSupplier term) {
        this.state = state;
        this.members = members;
        this.term = term;
        this.flush = new DeferredTask(timers, this::flush);
    }

    /** Schedules a push if a member is behind. */
    void scheduleFlushFor(Member member) {
        if (isBehind(member)) {
            scheduleFlush();
        }
    }

    /** Schedules a push. */
    void scheduleFlush() {
        flush.schedule(COALESCE_NANOS);
    }

    private void flush() {
        if (term.getAsLong() == 0) {
            return;
        }
        int budget = MAX_BYTES_PER_FLUSH;
        for (Member member : members) {
            if (!isBehind(member)) {
                continue;
            }
            if (budget <= 0 || !member.peer().isWritable()) {
                scheduleFlush();
                continue;
            }
            budget -= push(member);
        }
    }

    private boolean isBehind(Member member) {
        return member.textVersion() < state.config().version() || isMembershipBehind(member);
    }

    /** Agents need no membership; they manage only their own upstream. */
    private boolean isMembershipBehind(Member member) {
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
            member.recordPush(version, delta.revision());
        }
        return patch.length + delta.upstreams().stream().mapToInt(u -> u.length).sum();
    }

    private MembershipDelta delta(Member member) {
        long revision = state.upstreams().revision();
        return isMembershipBehind(member)
                ? state.upstreams().deltaSince(member.membershipRevision())
                : new MembershipDelta(false, revision, List.of(), List.of());
    }
}
