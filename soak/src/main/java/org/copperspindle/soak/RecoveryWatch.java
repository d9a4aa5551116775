package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;

import org.copperspindle.soak.PromiseBook.Answer;

/**
 * Judges whether nodes that are not disturbed answer requests with stages again after others were. Times are in
 * milliseconds.
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

    /** Between two answers of a node, from the last disturbance on. */
    static final long BOUND_MILLIS = SILENCE_LIMIT_MILLIS + TAKEOVER_MILLIS + OBJECTIVE_MILLIS;

    /** Requests that a node must have been sent in time to be blamed for answering none. */
    private static final int LEAST_ASKED = 3;

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
        answers.sort(Comparator.comparingLong(Answer::endedAt));
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
            for (int node = 0; node < nodes; node++) {
                if (!down.contains(node)) {
                    judged++;
                    judge(node, from, until, broken);
                }
            }
        }
        return new Verdict(judged, broken);
    }

    private void judge(int node, long from, long until, List<String> broken) {
        List<Answer> own = answers.stream().filter(a -> a.node() == node).toList();
        long last = from;
        for (Answer answer : own) {
            boolean counts = answer.isServed() && answer.endedAt() > from && answer.endedAt() <= until;
            if (counts) {
                judgeGap(node, own, last, answer.endedAt(), broken);
                last = answer.endedAt();
            }
        }
        judgeGap(node, own, last, until, broken);
    }

    private static void judgeGap(int node, List<Answer> own, long from, long until, List<String> broken) {
        if (until - from <= BOUND_MILLIS) {
            return;
        }
        long latest = from + BOUND_MILLIS - OBJECTIVE_MILLIS;
        long asked = own.stream()
                .filter(a -> a.sentAt() >= from && a.sentAt() < latest)
                .count();
        if (asked >= LEAST_ASKED) {
            broken.add(
                    "again: node-" + node + " answered none of " + asked + " requests from " + from + " to " + until);
        }
    }

    /** A node takes part again, also as a dispatcher, once it has answered a request. */
    private Outage untilServing(Outage outage) {
        if (outage.node == NO_NODE || outage.until == Long.MAX_VALUE) {
            return outage;
        }
        Outage whole = new Outage(outage.node, outage.from);
        whole.until = answers.stream()
                .filter(a -> a.node() == outage.node && a.isServed() && a.sentAt() >= outage.until)
                .mapToLong(Answer::endedAt)
                .findFirst()
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
     * @param judged times without disturbances, counted for each node that was judged in them
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
