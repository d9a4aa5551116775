package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;

import org.copperspindle.soak.PromiseBook.Answer;

/**
 * Judges whether nodes that are not disturbed answer requests with stages again after others were: each of them answers,
 * with a first event or a refusal, and together they serve some. Times are in milliseconds.
 *
 * <p>Only time in which nothing begins or ends is judged, and only while no more voters are disturbed than the
 * deployment tolerates.
 */
final class RecoveryWatch {

    /** Of a disturbance that concerns links or upstreams, after which nothing is promised to nodes in this time. */
    static final int NO_NODE = -1;

    /** A lost dispatcher leaves the mesh after this. */
    private static final long SILENCE_LIMIT_MILLIS = 1600;

    /** Nodes stay with a lost standby for this long after its last message. */
    private static final long TAKEOVER_MILLIS = 800;

    /** Longest objective of the most urgent route with stages. */
    private static final long OBJECTIVE_MILLIS = 1600;

    /** Between two answers, from the last disturbance on. The last part is the time that a served request has. */
    static final long BOUND_MILLIS = SILENCE_LIMIT_MILLIS + TAKEOVER_MILLIS + OBJECTIVE_MILLIS;

    /** Requests that a node must have been sent in time to be blamed for answering none. */
    private static final int LEAST_ASKED = 3;

    /** The same for serving none: most requests are refused while pools are short, so that fewer tell nothing. */
    private static final int LEAST_ASKED_TO_SERVE = 20;

    private static final int TOLERATED_VOTERS = 1;

    private final List<Outage> outages = new CopyOnWriteArrayList<>();
    private final List<Answer> answers = new ArrayList<>();

    /** A disturbance of a node begins, or of {@link #NO_NODE}. */
    Outage disturbed(int node, long now) {
        Outage outage = new Outage(node, now);
        outages.add(outage);
        return outage;
    }

    /** A caller got the end of an answer to a request with stages. */
    synchronized void answered(Answer answer) {
        answers.add(answer);
    }

    /** Returns what is broken by nodes from 0 on, of which the first {@code voters} vote. */
    synchronized Verdict judge(int nodes, int voters, long end) {
        List<Outage> known = outages.stream().map(this::untilServing).toList();
        TreeSet<Long> events = new TreeSet<>(Set.of(end));
        known.forEach(outage -> events.add(outage.from));
        known.stream().map(outage -> outage.until).filter(at -> at < end).forEach(events::add);
        List<String> broken = new ArrayList<>();
        int judged = 0;
        for (long from = events.first(); from < end; from = events.higher(from)) {
            long until = events.higher(from);
            Set<Integer> down = down(known, from, until);
            boolean tolerated = down.stream().filter(node -> node < voters).count() <= TOLERATED_VOTERS;
            if (until - from <= BOUND_MILLIS || down.contains(NO_NODE) || !tolerated) {
                continue;
            }
            List<Answer> undisturbed =
                    answers.stream().filter(a -> !down.contains(a.node())).toList();
            List<Answer> served =
                    undisturbed.stream().filter(RecoveryWatch::isServed).toList();
            judged++;
            judge("nodes served", undisturbed, served, LEAST_ASKED_TO_SERVE, from, until, broken);
            for (int node = 0; node < nodes; node++) {
                int number = node;
                List<Answer> own =
                        undisturbed.stream().filter(a -> a.node() == number).toList();
                List<Answer> answered = own.stream().filter(a -> a.status() > 0).toList();
                judge("node-" + node + " answered", own, answered, LEAST_ASKED, from, until, broken);
            }
        }
        return new Verdict(judged, broken);
    }

    /** Judges each time without a good answer between two events. */
    private static void judge(
            String subject,
            List<Answer> all,
            List<Answer> good,
            int least,
            long from,
            long until,
            List<String> broken) {
        TreeSet<Long> times = new TreeSet<>(Set.of(from, until));
        good.stream()
                .map(RecoveryWatch::answeredAt)
                .filter(at -> at > from && at < until)
                .forEach(times::add);
        for (long last = from; last < until; last = times.higher(last)) {
            long next = times.higher(last);
            long begin = last;
            long asked = all.stream()
                    .filter(a -> a.sentAt() >= begin && a.sentAt() < begin + BOUND_MILLIS - OBJECTIVE_MILLIS)
                    .count();
            if (next - last > BOUND_MILLIS && asked >= least) {
                broken.add("again: " + subject + " none of " + asked + " requests from " + last + " to " + next);
            }
        }
    }

    private static boolean isServed(Answer answer) {
        return answer.status() == 200 && answer.firstAt() > 0;
    }

    /** Returns when a caller got the first event, or a refusal. */
    private static long answeredAt(Answer answer) {
        return isServed(answer) ? answer.firstAt() : answer.endedAt();
    }

    /** A node takes part again, also as a dispatcher, once it has answered a request. */
    private Outage untilServing(Outage outage) {
        if (outage.node == NO_NODE || outage.until == Long.MAX_VALUE) {
            return outage;
        }
        Outage whole = new Outage(outage.node, outage.from);
        whole.until = answers.stream()
                .filter(a -> a.node() == outage.node && isServed(a) && a.sentAt() >= outage.until)
                .mapToLong(RecoveryWatch::answeredAt)
                .min()
                .orElse(Long.MAX_VALUE);
        return whole;
    }

    private static Set<Integer> down(List<Outage> known, long from, long until) {
        Set<Integer> down = new HashSet<>();
        known.stream()
                .filter(outage -> outage.from < until && outage.until >= from)
                .forEach(outage -> down.add(outage.node));
        return down;
    }

    /**
     * What was judged.
     *
     * @param judged times without disturbances in which undisturbed nodes were judged
     * @param broken what is broken
     */
    record Verdict(int judged, List<String> broken) {}

    /** Time in which a node, links or an upstream are disturbed. */
    static final class Outage {
        private final int node;
        private final long from;
        private volatile long until = Long.MAX_VALUE;

        private Outage(int node, long from) {
            this.node = node;
            this.from = from;
        }

        /** The disturbance ends. */
        void ends(long now) {
            until = now;
        }
    }
}
