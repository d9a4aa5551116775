package org.copperspindle.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.copperspindle.membership.LeaseGrantMessage;
import org.copperspindle.membership.LeaseRequestMessage;

/**
 * Divides every account's rate equally among the entries that hold a lease, with one share per entry for all accounts.
 * It reads no clock; time is passed as an argument. For each entry it keeps the largest share that the entry may be
 * using: what it reported or was sent, until it confirms a later grant or its lease has expired.
 *
 * <p>If a joining entry were given its share at once, the others would continue with their larger shares until their
 * next renewal, and accounts would exceed their rate at each join. It gets only what the largest shares of all others
 * leave free, which suffices because the sum of the largest shares never exceeds the whole.
 */
final class RateShareTable {

    private final Map<Object, Holder> holders = new HashMap<>();

    /**
     * Computes the share for one grant.
     *
     * @param member         one incarnation of an entry
     * @param request        its renewal
     * @param until          when the lease that is granted ends by the leader's clock, in nanoseconds
     * @param now            time in nanoseconds
     * @param earlierExpired whether all leases that earlier leaders granted have expired
     * @return parts of {@link LeaseGrantMessage#WHOLE_RATE}, or {@link LeaseGrantMessage#KEEP_SHARE}
     */
    long grant(Object member, LeaseRequestMessage request, long until, long now, boolean earlierExpired) {
        holders.values().removeIf(h -> h.until <= now);
        boolean known = holders.containsKey(member);
        Holder holder = holders.computeIfAbsent(member, m -> new Holder());
        boolean late = request.number() <= holder.highest;
        holder.until = Math.max(holder.until, until);
        if (late) {
            // The entry can't apply the response any more; recorded as sent it would hide a later, larger share.
            return LeaseGrantMessage.KEEP_SHARE;
        }
        holder.highest = request.number();
        if (!earlierExpired || known && !holder.granted) {
            // An entry first seen later holds nothing: what it held from an earlier leader has expired by now.
            holder.setReported(request);
        }
        holder.confirm(request.grantNumber());
        if (!earlierExpired || largest() > LeaseGrantMessage.WHOLE_RATE) {
            // The shares that entries not seen yet hold from an earlier leader are unknown, so nothing is free. Nothing
            // is free either while a delayed report counts too large a share, until that entry renews or its lease
            // expires.
            return LeaseGrantMessage.KEEP_SHARE;
        }
        long free = LeaseGrantMessage.WHOLE_RATE - (largest() - holder.largest());
        long equal = LeaseGrantMessage.WHOLE_RATE / holders.size();
        // The remainder of the division is free at once; an entry that started to serve with so small a share would
        // refuse nearly everything.
        boolean tooLittle = holder.largest() == 0 && free < equal / 2;
        long share = tooLittle ? 0 : Math.min(equal, free);
        holder.send(request.number(), share);
        return share;
    }

    /**
     * Removes an entry that has stopped accepting requests and returned its lease.
     *
     * @param member one incarnation of an entry
     */
    void leave(Object member) {
        holders.remove(member);
    }

    /** Removes all entries at the start of a term. */
    void clear() {
        holders.clear();
    }

    private long largest() {
        return holders.values().stream().mapToLong(Holder::largest).sum();
    }

    /** One entry, with the shares that it may be using, in descending order and in the order of their grants. */
    private static final class Holder {
        private final Deque<Sent> sent = new ArrayDeque<>();
        private long highest;
        private boolean granted;
        private long until = Long.MIN_VALUE;

        private void setReported(LeaseRequestMessage request) {
            sent.clear();
            sent.add(new Sent(request.grantNumber(), request.rateShare()));
        }

        /**
         * Drops the shares of earlier grants: grants are applied in the order of their numbers, so that one before a
         * confirmed one is never used again.
         */
        private void confirm(long number) {
            while (sent.size() > 1 && sent.peek().number() < number) {
                sent.poll();
            }
        }

        private void send(long number, long share) {
            granted = true;
            while (!sent.isEmpty() && sent.peekLast().share() <= share) {
                sent.pollLast();
            }
            sent.add(new Sent(number, share));
        }

        private long largest() {
            return sent.isEmpty() ? 0 : sent.peek().share();
        }
    }

    private record Sent(long number, long share) {}
}
