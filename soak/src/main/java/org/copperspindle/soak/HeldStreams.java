package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What callers hold of their streams over all answers in which they took them up, and which software version wrote each
 * event. Engines write their version into their events; nodes don't read them.
 */
final class HeldStreams {

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: \\S+( end)? @(\\S+)\n\n");
    private static final Pattern WRITTEN_BY = Pattern.compile(" @\\S+");

    /** From this number on, the share of streams that go on is judged. */
    private static final int LEAST_JUDGED = 12;

    private final Map<String, Map<Integer, Set<String>>> held = new ConcurrentHashMap<>();
    private final Map<String, Integer> last = new ConcurrentHashMap<>();
    private final List<String> outOfOrder = new CopyOnWriteArrayList<>();
    private final List<TakenUp> takenUp = new CopyOnWriteArrayList<>();
    private final List<Boolean> begun = new CopyOnWriteArrayList<>();

    /** Adds the version to an event. */
    static String writtenBy(String software, String event) {
        return event.substring(0, event.length() - 2) + " @" + software + "\n\n";
    }

    /** Removes the versions from a body. */
    static String unsigned(String body) {
        return WRITTEN_BY.matcher(body).replaceAll("");
    }

    /** Returns the events that a body holds whole, by number, with their versions. */
    static Map<Integer, String> events(String body) {
        Map<Integer, String> events = new TreeMap<>();
        Matcher matcher = EVENT.matcher(body);
        while (matcher.find()) {
            events.put(Integer.valueOf(matcher.group(1)), matcher.group(3));
        }
        return events;
    }

    /** Each event must follow the one before it, in one answer and from one answer to the next. */
    private void follow(String stream, String body) {
        Matcher matcher = EVENT.matcher(body);
        while (matcher.find()) {
            int event = Integer.parseInt(matcher.group(1));
            int before = last.getOrDefault(stream, 0);
            if (event != before + 1) {
                outOfOrder.add("events: " + stream + " got event " + event + " after " + before);
            }
            last.put(stream, event);
        }
    }

    /** A caller got an answer, or a part of one, to the request that began a stream. */
    void began(String stream, String body) {
        begun.add(!add(stream, body).isEmpty());
    }

    /** A caller got an answer, or a part of one, to any request of a stream. */
    void holds(String stream, String body) {
        add(stream, body);
    }

    /**
     * A caller got an answer, or a part of one, to a request that took a stream up.
     *
     * @param stream  request that began the stream
     * @param body    what came
     * @param engines engines of its version that took requests all the while
     * @param sentAt  when the request was sent, in milliseconds
     * @param endedAt when the answer ended
     */
    void tookUp(String stream, String body, int engines, long sentAt, long endedAt) {
        boolean goesOn = !add(stream, body).isEmpty();
        if (engines >= 2) {
            takenUp.add(new TakenUp(goesOn, sentAt, endedAt));
        }
    }

    /**
     * Judges what callers hold.
     *
     * @param trouble begin and end of each disturbance of nodes and links, in milliseconds
     */
    List<String> broken(List<long[]> trouble) {
        List<String> broken = new ArrayList<>(outOfOrder);
        held.forEach((stream, events) -> {
            if (isJoined(events)) {
                broken.add("versions: " + stream + " holds events of " + versions(events) + ": " + changes(events));
            }
        });
        List<TakenUp> judged = judged(trouble);
        double goOn = share(judged.stream().filter(TakenUp::goesOn).count(), judged.size());
        if (judged.size() >= LEAST_JUDGED && goOn < beginning() / 2) {
            broken.add("taken up: " + goOn + " of " + judged.size() + " streams went on, " + beginning() + " of "
                    + begun.size() + " began");
        }
        return broken;
    }

    /** Returns how many streams began and were taken up, as one line. */
    String summary(List<long[]> trouble) {
        List<TakenUp> judged = judged(trouble);
        return "joined=" + held.values().stream().filter(HeldStreams::isJoined).count() + " out_of_order="
                + outOfOrder.size() + " began=" + begun.stream().filter(b -> b).count() + " of=" + begun.size()
                + " went_on="
                + judged.stream().filter(TakenUp::goesOn).count() + " of=" + judged.size() + " taken_up="
                + takenUp.size();
    }

    private static boolean isJoined(Map<Integer, Set<String>> events) {
        return versions(events).size() > 1;
    }

    private static Set<String> versions(Map<Integer, Set<String>> events) {
        Set<String> versions = new TreeSet<>();
        events.values().forEach(versions::addAll);
        return versions;
    }

    /** Returns the events that differ in version from the one before them, by number. */
    private static Map<Integer, Set<String>> changes(Map<Integer, Set<String>> events) {
        Map<Integer, Set<String>> changes = new TreeMap<>();
        Set<String> before = Set.of();
        for (Map.Entry<Integer, Set<String>> event : new TreeMap<>(events).entrySet()) {
            if (!event.getValue().equals(before)) {
                changes.put(event.getKey(), event.getValue());
            }
            before = event.getValue();
        }
        return changes;
    }

    private Map<Integer, String> add(String stream, String body) {
        follow(stream, body);
        Map<Integer, String> events = events(body);
        Map<Integer, Set<String>> all = held.computeIfAbsent(stream, s -> new ConcurrentHashMap<>());
        events.forEach((number, software) ->
                all.computeIfAbsent(number, n -> ConcurrentHashMap.newKeySet()).add(software));
        return events;
    }

    private double beginning() {
        return share(begun.stream().filter(b -> b).count(), begun.size());
    }

    /** Leaves out what was taken up while nodes could not know of each other. */
    private List<TakenUp> judged(List<long[]> trouble) {
        long margin = SoakOperator.CONTACT_MILLIS;
        return takenUp.stream()
                .filter(each -> trouble.stream().noneMatch(t -> t[0] < each.endedAt() && each.sentAt() < t[1] + margin))
                .toList();
    }

    private static double share(long part, int all) {
        return all == 0 ? 0 : (double) part / all;
    }

    private record TakenUp(boolean goesOn, long sentAt, long endedAt) {}
}
