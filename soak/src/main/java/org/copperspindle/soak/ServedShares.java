package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts how often requests with stages are served, by route, account and size, while pools are short.
 */
final class ServedShares {

    /** No route, account or size is served less than this part as often as all together. */
    private static final double LEAST_PART = 0.25;

    /** Fewer requests tell nothing about a share. */
    private static final int LEAST_ASKED = 40;

    private final Map<String, int[]> counts = new TreeMap<>();

    /** A caller got the end of an answer. */
    synchronized void answered(SoakRequest request, boolean served) {
        List<String> subjects = List.of(
                "all", "route " + request.route(), "account " + request.account(), "pieces " + request.pieces());
        for (String subject : subjects) {
            int[] count = counts.computeIfAbsent(subject, s -> new int[2]);
            count[0]++;
            count[1] += served ? 1 : 0;
        }
    }

    /** Returns who was served too rarely. */
    synchronized List<String> unfair() {
        List<String> unfair = new ArrayList<>();
        double least = LEAST_PART * share(counts.getOrDefault("all", new int[2]));
        counts.forEach((subject, count) -> {
            if (count[0] >= LEAST_ASKED && share(count) < least) {
                unfair.add("fair: " + subject + " was served " + count[1] + " of " + count[0] + ", all together "
                        + counts.get("all")[1] + " of " + counts.get("all")[0]);
            }
        });
        return unfair;
    }

    /** Returns how many were served of how many, for each subject. */
    synchronized String summary() {
        List<String> parts = new ArrayList<>();
        counts.forEach((subject, count) -> parts.add(subject.replace(' ', '_') + '=' + count[1] + '/' + count[0]));
        return String.join(" ", parts);
    }

    private static double share(int[] count) {
        return count[0] == 0 ? 0 : count[1] / (double) count[0];
    }
}
