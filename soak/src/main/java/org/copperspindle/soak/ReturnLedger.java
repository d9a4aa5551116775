package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.copperspindle.soak.PromiseBook.Answer;

/**
 * How callers wait for streams that they take up, compared with new streams that callers ask for meanwhile, and
 * what refusals they get. Times are in milliseconds.
 */
final class ReturnLedger {

    /** From this number on, the share of streams that go on is judged. */
    private static final int LEAST_JUDGED = 12;

    private static final int LEAST_ENGINES = 2;
    /** New streams are compared that are asked for from when a stream broke off to as long after its next event. */
    private static final long SAME_MILLIS = 1000;

    /** A suspended node keeps connections open, and callers leave it after a while. */
    private static final long BY_KILL_MILLIS = 3000;

    private static final double PERCENTILE = 0.95;
    private static final Pattern REASON = Pattern.compile("\"reason\":\"([^\"]*)\"");

    private final List<Wait> waits = new CopyOnWriteArrayList<>();
    private final List<Long> kills = new CopyOnWriteArrayList<>();
    private final Map<String, List<Long>> refusals = new TreeMap<>();

    /** Nodes are killed. */
    void killed(long now) {
        kills.add(now);
    }

    /** A caller has got an event, or has given up. */
    void ended(Wait wait) {
        waits.add(wait);
    }

    /** A caller got the end of an answer; {@code begins} says whether it asked for a new stream. */
    synchronized void answered(Answer answer, boolean begins) {
        if (answer.status() == 0 || answer.status() == 200) {
            return;
        }
        Matcher reason = REASON.matcher(answer.text());
        String what = (begins ? "new:" : "taken-up:") + answer.status() + ':' + (reason.find() ? reason.group(1) : "");
        refusals.computeIfAbsent(what, w -> new ArrayList<>()).add(answer.endedAt() - answer.sentAt());
    }

    /** Returns what is broken: over all waits, or over those that began when nodes were killed. */
    List<String> broken() {
        List<String> broken = new ArrayList<>();
        lost(judge(wait -> true), "in all").ifPresent(broken::add);
        for (long kill : kills) {
            lost(judgeKill(kill), "after the kill at " + kill).ifPresent(broken::add);
        }
        return broken;
    }

    private static Optional<String> lost(Judged judged, String when) {
        if (judged.all < LEAST_JUDGED || judged.wentOn >= judged.expected / 2) {
            return Optional.empty();
        }
        return Optional.of(String.format(
                "lost: %d of %d streams that were taken up went on, of new ones meanwhile %.2f began, %s",
                judged.wentOn, judged.all, judged.expected / judged.all, when));
    }

    private Judged judgeKill(long kill) {
        return judge(wait -> wait.from >= kill && wait.from < kill + BY_KILL_MILLIS);
    }

    /** Returns all figures in one line. */
    synchronized String summary() {
        Judged judged = judge(wait -> true);
        StringBuilder text = new StringBuilder(String.format(
                "kills=%d taken_up=%d judged=%d went_on=%d expected=%.1f wait_ms_95: taken_up=%d new=%d refused:",
                kills.size(),
                waits.stream().filter(w -> !w.isNew).count(),
                judged.all,
                judged.wentOn,
                judged.expected,
                percentile(waits.stream()
                        .filter(w -> !w.isNew && w.succeeded())
                        .map(Wait::millis)
                        .toList()),
                percentile(waits.stream()
                        .filter(w -> w.isNew && w.succeeded())
                        .map(Wait::millis)
                        .toList())));
        refusals.forEach((what, millis) -> text.append(' ')
                .append(what)
                .append('=')
                .append(millis.size())
                .append("(ms_95=")
                .append(percentile(millis))
                .append(')'));
        for (long kill : kills) {
            Judged ofKill = judgeKill(kill);
            text.append(String.format(
                    " kill_at=%d:judged=%d,went_on=%d,expected=%.1f",
                    kill, ofKill.all, ofKill.wentOn, ofKill.expected));
        }
        return text.toString();
    }

    private Judged judge(Predicate<Wait> chosen) {
        Judged judged = new Judged();
        List<Wait> begun = waits.stream().filter(wait -> wait.isNew).toList();
        for (Wait wait : waits.stream().filter(chosen).toList()) {
            List<Wait> beside = begun.stream()
                    .filter(other -> other.from >= wait.from && other.from <= wait.until + SAME_MILLIS)
                    .toList();
            if (!wait.isNew && wait.engines >= LEAST_ENGINES && !beside.isEmpty()) {
                judged.all++;
                judged.wentOn += wait.succeeded() ? 1 : 0;
                judged.expected +=
                        (double) beside.stream().filter(Wait::succeeded).count() / beside.size();
            }
        }
        return judged;
    }

    private static long percentile(List<Long> millis) {
        List<Long> sorted = millis.stream().sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get((int) (PERCENTILE * (sorted.size() - 1)));
    }

    private static final class Judged {
        private int all;
        private int wentOn;
        private double expected;
    }

    /** The time from when a stream broke off, or was asked for, to its next event; of one caller. */
    static final class Wait {
        private final long from;
        private final boolean isNew;
        private int engines = Integer.MAX_VALUE;
        private long until;
        private boolean succeeded;

        Wait(long from, boolean isNew) {
            this.from = from;
            this.isNew = isNew;
        }

        long from() {
            return from;
        }

        /** So many engines of the version of the stream take requests. */
        void serving(int count) {
            engines = Math.min(engines, count);
        }

        /** An event came, or the end of a stream of which no event was missing. */
        Wait succeededAt(long now) {
            until = Math.max(from, now);
            succeeded = true;
            return this;
        }

        /** Nothing came, and the caller gives up. */
        Wait failedAt(long now) {
            until = now;
            return this;
        }

        private boolean succeeded() {
            return succeeded;
        }

        private long millis() {
            return until - from;
        }
    }
}
