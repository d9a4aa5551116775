package org.copperspindle.soak;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A request of a soak. Its id says all that a stand-in needs to judge what it is asked for.
 *
 * @param id      identity
 * @param route   name of its route, also its path
 * @param account whose key it carries
 * @param pieces  pieces of each of the two stages, 0 for routes without stages
 */
record SoakRequest(String id, String route, String account, int pieces) {

    static final String SAFE = "safe";
    static final String ONCE = "once";
    static final String DRAFT = "draft";
    static final String RESUME = "resume";

    /** Resumable streams without stages, whose callers come back for longer. */
    static final String CHAT = "chat";

    /** Body of a request that ends the upstream that runs it; no other has it. */
    static final String FATAL = "fatal";

    /** Part of a prompt that ends the upstream that runs a request with it. */
    static final String FATAL_PART = "fatal-part";

    /** Ends the id of a request whose answer is large. */
    private static final String LARGE = "large";

    /** Added to each part of a large answer: one part must stay below what a stand-in may have pending. */
    private static final String FILLER = "x".repeat(150_000);

    /** Ends the id of a request whose stream is long. */
    private static final String LONG = "long";

    /** Ends the id of a request whose stream lasts for seconds. */
    private static final String PACED = "paced";

    /** The same of a long stream: all of them are more than the buffers of a connection on loopback take. */
    private static final String LONG_FILLER = "x".repeat(240_000);

    /** Precedes the number of the last event that the caller of a request holds. */
    private static final String AFTER = "-after";

    private static final Pattern AFTER_EVENT = Pattern.compile(AFTER + "(\\d+)");

    /** Query and body of some requests: their ids must not be taken for a request's. */
    private static final String QUERY = "?n=a%20b&X-Request-Id=safe-lasting-0-0-query";

    private static final String BODY =
            "0\r\n\r\nPOST /safe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: safe-lasting-0-0-body\r\nContent-Length: 0\r\n\r\n";

    /** Fields that only the system may set; some callers send them all the same. */
    private static final String RESERVED_FIELDS = "\r\nCopperspindle-Account: forged\r\nCopperspindle-Rank: 9"
            + "\r\nCopperspindle-Upstream: u0\r\nCopperspindle-Inputs: 127.0.0.1:1/forged/1/0";

    /** Of so many requests one has a query and a body, another one has reserved fields. */
    private static final int KINDS = 4;

    /** Place of the number in an id. */
    private static final int NUMBER = 3;

    private static final int EVENTS = 6;

    /** Long enough that an engine can be lost in the middle of most streams. */
    private static final int LONG_EVENTS = 24;

    private static final int PACED_EVENTS = 60;

    /** Makes a request. */
    static SoakRequest of(long number, String route, String account, int pieces) {
        String id = route + '-' + account + '-' + pieces + '-' + number;
        return new SoakRequest(id, route, account, pieces);
    }

    /** Makes a request whose answer is large. */
    static SoakRequest large(long number, String route, String account, int pieces) {
        SoakRequest small = of(number, route, account, pieces);
        return new SoakRequest(small.id + '-' + LARGE, route, account, pieces);
    }

    /** Says whether the answer of a request is large. */
    static boolean isLarge(String id) {
        return id.contains("-" + LARGE);
    }

    /** Returns this request with a long stream as its answer. */
    SoakRequest lengthened() {
        return new SoakRequest(id + '-' + LONG, route, account, pieces);
    }

    /** Returns this request with a stream that lasts for seconds as its answer. */
    SoakRequest paced() {
        return new SoakRequest(id + '-' + PACED, route, account, pieces);
    }

    /** Says whether the stream of its answer lasts for seconds. */
    boolean isPaced() {
        return id.contains("-" + PACED);
    }

    /** Returns the request in which a caller takes up this stream after an event. */
    SoakRequest takenUp(int event, long number) {
        return new SoakRequest(id + AFTER + event + "-n" + number, route, account, pieces);
    }

    /** Returns the number of the last event that its caller holds, 0 for a new stream. */
    int heldEvents() {
        Matcher last = AFTER_EVENT.matcher(id);
        int events = 0;
        while (last.find()) {
            events = Integer.parseInt(last.group(1));
        }
        return events;
    }

    /** Returns how many events its answer has. */
    int events() {
        if (isPaced()) {
            return PACED_EVENTS;
        }
        return isLong() ? LONG_EVENTS : EVENTS;
    }

    private boolean isLong() {
        return id.contains("-" + LONG);
    }

    /** Reads what an id says. */
    static SoakRequest parse(String id) {
        String[] parts = id.split("-");
        return new SoakRequest(id, parts[0], parts[1], Integer.parseInt(parts[2]));
    }

    boolean streams() {
        return route.equals(DRAFT) || route.equals(RESUME) || route.equals(CHAT);
    }

    /** Says whether another engine may go on with its stream. */
    boolean isResumable() {
        return route.equals(RESUME) || route.equals(CHAT);
    }

    boolean isIdempotent() {
        return route.equals(SAFE) || isResumable();
    }

    /** Returns path and query of this request with a body. */
    String target(String body) {
        return '/' + route + "/x" + (body.equals(BODY) ? QUERY : "");
    }

    /** Returns its body. */
    String sentBody() {
        return number() % KINDS == 1 ? BODY : "";
    }

    /** Returns the fields that its caller should not send; nothing or lines, each after the end of another one. */
    String reservedFields() {
        return number() % KINDS == 2 ? RESERVED_FIELDS : "";
    }

    /** Returns the number that it, or the request whose stream it takes up, was made with. */
    private long number() {
        return Long.parseLong(id.split("-")[NUMBER]);
    }

    /** Returns the whole body of its answer, for routes that don't stream. */
    String body() {
        return "answer to " + id + filler();
    }

    /** Returns one event of its answer. */
    String event(int number) {
        return "id: " + number + "\ndata: " + id + filler() + (number == events() ? " end" : "") + "\n\n";
    }

    private String filler() {
        if (!isLarge(id)) {
            return "";
        }
        return isLong() ? LONG_FILLER : FILLER;
    }

    /** Returns the key of its pieces. */
    String pieceKey() {
        return "key-" + id;
    }
}
