package org.copperspindle.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.copperspindle.membership.LeaseGrantMessage;
import org.copperspindle.membership.LeaseRequestMessage;

/**
 * Parts every account's rate equally among the entries that hold a lease, in one number for each. Pure: time comes in as
 * an argument. Keeps for each entry the largest share that it may be using: what it reported or was sent, until it
 * reports a later grant as taken or its lease has run out.
 *
 * <p>Safeguard: were a joining entry given its part at once, the others would go on with their larger parts until their
 * next renewal; the symptom is an account above its rate at each join. It gets only what all the others leave free by
 * that largest share, which is enough because the sum of those never rises above the whole.
 */
final class RateShareTable {

    private final Map<Object, Holder> holders = new HashMap<>();

    /**
     * Decides on the share that goes with one grant.
     *
     * @param member      one life of an entry
     * @param request     its renewal
     * @param until       when the lease that is granted ends by the leader's clock, in nanoseconds
     * @param now         time in nanoseconds
     * @param earlierOver whether all leases that earlier leaders granted have run out
     * @return parts of {@link LeaseGrantMessage#WHOLE_RATE}, or {@link LeaseGrantMessage#KEEP_SHARE}
     */
    long grant(Object member, LeaseRequestMessage request, long until, long now, boolean earlierOver) {
        holders.values().removeIf(h -> h.until <= now);
        boolean known = holders.containsKey(member);
        Holder holder = holders.computeIfAbsent(member, m -> new Holder());
        boolean late = request.number() <= holder.highest;
        holder.until = Math.max(holder.until, until);
        if (late) {
            // Its answer can't be taken any more; counted as sent it would hide a later, larger one.
            return LeaseGrantMessage.KEEP_SHARE;
        }
        holder.highest = request.number();
        if (!earlierOver || known && !holder.granted) {
            // One first heard of later holds nothing: what it held from an earlier leader has run out by now.
            holder.reported(request);
        }
        holder.confirmed(request.shareNumber());
        if (!earlierOver || largest() > LeaseGrantMessage.WHOLE_RATE) {
            // What entries that were not heard of yet hold from an earlier leader is unknown, so nothing is free. Nor
            // is it while a report that was long under way counts too much; that entry renews or its lease runs out.
            return LeaseGrantMessage.KEEP_SHARE;
        }
        long free = LeaseGrantMessage.WHOLE_RATE - (largest() - holder.largest());
        long equal = LeaseGrantMessage.WHOLE_RATE / holders.size();
        // The rest of a division is free at once; an entry that began to serve on so little would refuse nearly all.
        boolean tooLittle = holder.largest() == 0 && free < equal / 2;
        long share = tooLittle ? 0 : Math.min(equal, free);
        holder.send(request.number(), share);
        return share;
    }

    /**
     * Forgets an entry that has stopped taking requests on and gave its lease back.
     *
     * @param member one life of an entry
     */
    void leave(Object member) {
        holders.remove(member);
    }

    /** Forgets everything: another term began. */
    void clear() {
        holders.clear();
    }

    private long largest() {
        return holders.values().stream().mapToLong(Holder::largest).sum();
    }

    /** One entry: shares that it may be using, falling, by the number of their grant. */
    private static final class Holder {
        private final Deque<Sent> sent = new ArrayDeque<>();
        private long highest;
        private boolean granted;
        private long until = Long.MIN_VALUE;

        private void reported(LeaseRequestMessage request) {
            sent.clear();
            sent.add(new Sent(request.shareNumber(), request.rateShare()));
        }

        /** Grants are taken in the order of their numbers, so that one before a taken one is never used again. */
        private void confirmed(long number) {
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
