package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.soak.LeaningBalancer.Lean;

/**
 * How often requests that nodes read were served while most new connections came to one of them, and at other times. A
 * connection that is closed with the request unread has no status and isn't counted.
 */
final class SurgeLedger {

    /** From when a surge is judged. */
    private static final long CONTACT_MILLIS = 1500;

    private static final double LEAST_SHARE = 0.75;
    private static final int LEAST_JUDGED = 20;

    private final List<PromiseBook.Answer> answers = new ArrayList<>();
    private final List<long[]> troubles = new ArrayList<>();
    private List<Lean> leans = List.of();

    /** Sets the leans that are judged; without them nothing is kept. */
    synchronized void judging(List<Lean> planned) {
        leans = planned;
    }

    /** Anything was disturbed for some time; leans that overlap it aren't judged. */
    synchronized void disturbed(long from, long to) {
        troubles.add(new long[] {from, to});
    }

    synchronized void answered(PromiseBook.Answer answer) {
        if (!leans.isEmpty() && answer.status() > 0) {
            answers.add(answer);
        }
    }

    /** Returns the broken promise, if it is one. */
    synchronized Optional<String> broken() {
        long[] leaning = count(true);
        long[] usual = count(false);
        boolean judged = leaning[1] >= LEAST_JUDGED && usual[1] >= LEAST_JUDGED;
        if (!judged || share(leaning) >= LEAST_SHARE * share(usual)) {
            return Optional.empty();
        }
        return Optional.of("recover: " + summary());
    }

    /** Returns how many requests were served of those that were read. */
    synchronized String summary() {
        long[] leaning = count(true);
        long[] usual = count(false);
        return "while most new connections came to one node " + leaning[0] + " of " + leaning[1]
                + " were served, otherwise " + usual[0] + " of " + usual[1];
    }

    private long[] count(boolean leaning) {
        long[] counts = new long[2];
        for (PromiseBook.Answer answer : answers) {
            if (isCalm(answer.sentAt(), answer.endedAt()) && isLeaning(answer) == leaning) {
                counts[0] += answer.isServed() ? 1 : 0;
                counts[1]++;
            }
        }
        return counts;
    }

    private boolean isLeaning(PromiseBook.Answer answer) {
        return leans.stream()
                .anyMatch(lean -> lean.from() + CONTACT_MILLIS <= answer.sentAt() && answer.sentAt() < lean.to());
    }

    private boolean isCalm(long from, long to) {
        return troubles.stream().noneMatch(t -> t[0] - CONTACT_MILLIS < to && from < t[1] + CONTACT_MILLIS);
    }

    private static double share(long[] counts) {
        return (double) counts[0] / counts[1];
    }
}
