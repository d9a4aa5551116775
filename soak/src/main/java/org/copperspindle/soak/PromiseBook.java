package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What callers, upstreams and the operator saw, and which promises it breaks.
 */
final class PromiseBook {

    private static final int MOST_TOLD = 20;
    private static final int MOST_EXCERPT = 400;
    private static final int HELD_OFF = 400;
    private static final int HELD_OFF_PART = 503;
    private static final String HELD_OFF_REASON = "ends-upstreams";
    private static final int REQUEST_ENDS_BEFORE_HOLD = 3;
    private static final int PART_ENDS_BEFORE_HOLD = 5;

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final Map<String, Answer> answers = new ConcurrentHashMap<>();
    private final Map<String, List<Run>> pieces = new ConcurrentHashMap<>();
    private final Map<String, Long> drained = new ConcurrentHashMap<>();
    private final List<Emptied> emptied = new CopyOnWriteArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private final SentRequests sent = new SentRequests();
    private final StreamWork work = new StreamWork();
    private final HeldStreams held = new HeldStreams();
    private final ReturnLedger returns = new ReturnLedger();
    private final RecoveryWatch recovery = new RecoveryWatch();
    private final ServedShares shares = new ServedShares();
    private final FatalLedger fatalRequest = new FatalLedger("one request", REQUEST_ENDS_BEFORE_HOLD);
    private final FatalLedger fatalPart = new FatalLedger("one part of prompts", PART_ENDS_BEFORE_HOLD);
    private final SurgeLedger surges = new SurgeLedger();
    private volatile long revokedAt = Long.MAX_VALUE;

    /** An upstream begins to run a request. */
    void ran(String id, String upstream, long now) {
        runs.computeIfAbsent(id, i -> new CopyOnWriteArrayList<>()).add(new Run(upstream, now));
    }

    /** An upstream makes a piece of a request's stage. */
    void madePiece(String id, String upstream, long now) {
        pieces.computeIfAbsent(id, i -> new CopyOnWriteArrayList<>()).add(new Run(upstream, now));
    }

    /** A failure domain was evacuated, from the acknowledgement until just before the end was ordered. */
    void evacuated(String failureDomain, long from, long until) {
        emptied.add(new Emptied(failureDomain, from, until));
    }

    /** A caller got the end of an answer, or of its connection. */
    void answered(SoakRequest request, Answer answer) {
        answers.put(request.id(), answer.withoutText());
        if (answer.status() == HELD_OFF_PART && answer.text().contains(HELD_OFF_REASON)) {
            breaks("denied: " + request.id() + " was held off for a part that it does not hold");
        }
        if (request.streams()
                && !SoakRequest.isLarge(request.id())
                && !request.account().equals(SoakOperator.REVOKED)) {
            recovery.answered(answer.withoutText());
            if (answer.status() > 0) {
                shares.answered(request, answer.isServed());
            }
        }
        if (answer.isServed()) {
            served.incrementAndGet();
            if (!HeldStreams.unsigned(answer.text()).equals(expected(request))) {
                breaks("mixed: " + request.id() + " got " + answer.excerpt());
            }
        } else if (answer.status() == 200 && request.streams() && !begins(expected(request), answer.text())) {
            breaks("order: " + request.id() + " got " + answer.excerpt());
        }
    }

    /** Returns what ended under the request that ends upstreams. */
    FatalLedger fatalRequest() {
        return fatalRequest;
    }

    /** Returns what ended under the part of prompts that ends upstreams. */
    FatalLedger fatalPart() {
        return fatalPart;
    }

    /** Returns how requests were served while most new connections came to one node. */
    SurgeLedger surges() {
        return surges;
    }

    /** The caller of the request that ends upstreams got the end of an answer. */
    void answeredFatal(SoakRequest request, Answer answer) {
        if (answer.status() == HELD_OFF && answer.saysNotRun() && runs.containsKey(request.id())) {
            breaks("refused: " + request.id() + " was answered " + answer.status() + " as not run and ran");
        }
    }

    /** An upstream's word that it drains was acknowledged. */
    void drained(String upstream, long now) {
        drained.put(upstream, now);
    }

    /** The version that takes the second account's key away was acknowledged. */
    void revoked(long now) {
        revokedAt = now;
    }

    long revokedAt() {
        return revokedAt;
    }

    int served() {
        return served.get();
    }

    /** Returns how the requests of callers that stopped reading have ended. */
    String slowReaders() {
        List<Answer> slow = answers.entrySet().stream()
                .filter(answered -> SoakRequest.isLarge(answered.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        long whole = slow.stream().filter(a -> a.status() == 200 && a.whole()).count();
        long cut = slow.stream().filter(a -> a.status() == 200 && !a.whole()).count();
        return "asked=" + slow.size() + " whole=" + whole + " cut_off=" + cut;
    }

    /** Returns what callers hold of their streams. */
    HeldStreams held() {
        return held;
    }

    /** Returns how callers waited for the streams to which they came back. */
    ReturnLedger returns() {
        return returns;
    }

    /** Returns what callers have sent. */
    SentRequests sent() {
        return sent;
    }

    /** Returns what engines worked on. */
    StreamWork work() {
        return work;
    }

    /** Returns which nodes were disturbed when. */
    RecoveryWatch recovery() {
        return recovery;
    }

    /** Returns how often requests with stages were served. */
    ServedShares shares() {
        return shares;
    }

    /** Returns how many requests were refused as not run. */
    long refused() {
        return answers.values().stream().filter(Answer::saysNotRun).count();
    }

    int asked() {
        return answers.size();
    }

    synchronized void breaks(String promise) {
        broken.add(promise);
    }

    /** Judges what can only be told at the end, and returns all broken promises. */
    synchronized List<String> judge(List<long[]> linkTrouble) {
        answers.forEach((id, answer) -> judge(SoakRequest.parse(id), answer, linkTrouble));
        fatalRequest.judge(at -> calm(at, linkTrouble)).ifPresent(this::breaks);
        fatalPart.judge(at -> calm(at, linkTrouble)).ifPresent(this::breaks);
        surges.broken().ifPresent(this::breaks);
        work.overlaps().forEach(this::breaks);
        sent.broken().forEach(this::breaks);
        held.broken(linkTrouble).forEach(this::breaks);
        returns.broken().forEach(this::breaks);
        return broken.size() > MOST_TOLD ? List.copyOf(broken.subList(0, MOST_TOLD)) : List.copyOf(broken);
    }

    private void judge(SoakRequest request, Answer answer, List<long[]> linkTrouble) {
        List<Run> seen = runs.getOrDefault(request.id(), List.of());
        if (!request.isIdempotent() && seen.size() > 1) {
            breaks("twice: " + request.id() + " ran at " + seen);
        }
        if (answer.saysNotRun() && !seen.isEmpty()) {
            breaks("refused: " + request.id() + " was answered " + answer.status() + " and ran at " + seen);
        }
        if (answer.status() == HELD_OFF) {
            breaks("denied: " + request.id() + " was held off");
        }
        if ((answer.status() == 401 || answer.status() == 404)
                && !request.account().equals(SoakOperator.REVOKED)) {
            breaks("denied: " + request.id() + " was answered " + answer.status());
        }
        boolean revoked = request.account().equals(SoakOperator.REVOKED)
                && answer.sentAt() - SoakOperator.REVOCATION.toMillis() > revokedAt;
        if (revoked && !seen.isEmpty()) {
            breaks("revoked: " + request.id() + " ran after its key was taken away");
        }
        judgeEvacuations(request, answer, seen);
        judgeEvacuations(request, answer, pieces.getOrDefault(request.id(), List.of()));
        for (Run run : seen) {
            Long since = drained.get(run.upstream());
            if (since != null && answer.sentAt() > since + SoakOperator.DRAIN_MILLIS && calm(since, linkTrouble)) {
                breaks("drain: " + request.id() + " reached " + run.upstream() + " that was draining");
            }
        }
    }

    /** Holds for all nodes, cut off or not: a node admits nothing without a lease, and has none before it knows of the evacuation. */
    private void judgeEvacuations(SoakRequest request, Answer answer, List<Run> seen) {
        for (Emptied each : emptied) {
            boolean late = answer.sentAt() > each.from() + Evacuation.BOUND_MILLIS;
            seen.stream()
                    .filter(run -> late && run.at() < each.until())
                    .filter(run -> SoakUpstream.domainOf(run.upstream()).equals(each.failureDomain()))
                    .forEach(run -> breaks("evacuated: " + request.id() + " reached " + run.upstream() + " in "
                            + each.failureDomain()));
        }
    }

    /** Says whether no link was disturbed around a moment: nodes that are cut off can't hear of a drain. */
    private static boolean calm(long at, List<long[]> linkTrouble) {
        long margin = SoakOperator.CONTACT_MILLIS;
        return linkTrouble.stream().noneMatch(t -> t[0] - margin < at + margin && at < t[1] + margin);
    }

    /** Says whether a body that broke off, perhaps in the middle of an event, is the beginning of a whole one. */
    private static boolean begins(String whole, String part) {
        String events = HeldStreams.unsigned(part);
        int version = events.lastIndexOf(" @");
        String end = version >= 0 ? events.substring(0, version) : events;
        return whole.startsWith(end) || whole.startsWith(events.stripTrailing());
    }

    private static String expected(SoakRequest request) {
        if (!request.streams()) {
            return request.body();
        }
        StringBuilder events = new StringBuilder();
        for (int number = 1 + request.heldEvents(); number <= request.events(); number++) {
            events.append(request.event(number));
        }
        return events.toString();
    }

    /**
     * What a caller got.
     *
     * @param status     HTTP status, 0 if none came
     * @param text       body as far as it came
     * @param whole      whether its framing says that it is whole
     * @param saysNotRun whether it promises that the request did not run
     * @param sentAt     when the request was sent, in milliseconds
     * @param node       number of the node that was asked
     * @param firstAt    when its body began, in milliseconds; 0 if none came
     * @param endedAt    when the answer ended, in milliseconds
     */
    record Answer(
            int status,
            String text,
            boolean whole,
            boolean saysNotRun,
            long sentAt,
            int node,
            long firstAt,
            long endedAt) {

        /** Says whether it is a success and whole. */
        boolean isServed() {
            return status == 200 && whole;
        }

        /** Large answers have been compared when they are written down, and would fill the memory. */
        private Answer withoutText() {
            return new Answer(status, "", whole, saysNotRun, sentAt, node, firstAt, endedAt);
        }

        private String excerpt() {
            String start = text.substring(0, Math.min(MOST_EXCERPT, text.length()));
            return '"' + start.replace("\n", "|") + "\" (" + text.length() + " characters)";
        }
    }

    /**
     * A run of a request.
     *
     * @param upstream where
     * @param at       when, in milliseconds
     */
    record Run(String upstream, long at) {}

    /**
     * Time in which a failure domain was evacuated.
     *
     * @param failureDomain its name
     * @param from          when that was acknowledged, in milliseconds
     * @param until         when its end was about to be ordered
     */
    private record Emptied(String failureDomain, long from, long until) {}
}
