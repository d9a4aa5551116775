package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.dialect.HeaderNames;

/**
 * What callers have sent, and what upstreams receive in its name. Nothing may arrive that no caller has sent, or other than
 * its caller sent it.
 */
final class SentRequests {

    private static final HeaderNames NAMES = HeaderNames.STANDARD;
    private static final String AUTHORIZATION = "authorization";
    private static final String LAST_EVENT_ID = "last-event-id";
    private static final String KEY_PREFIX = "Bearer key-";
    private static final int STAGES = 2;

    /** Precedes the upstream that has made a result, at the end of its handle. */
    private static final char MAKER = '.';

    /** Fields of one connection, which each sender sets itself. */
    private static final Set<String> FRAMING = Set.of("content-length", "transfer-encoding", "connection");

    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    /** Upstreams by the results that they have made. */
    private final Map<String, String> made = new ConcurrentHashMap<>();

    /** Upstreams that have listened at an address. */
    private final Map<String, Set<String>> users = new ConcurrentHashMap<>();

    private final Map<String, List<String>> findings = new TreeMap<>();
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong pieces = new AtomicLong();
    private final AtomicLong releases = new AtomicLong();
    private final AtomicLong outdated = new AtomicLong();

    /** A caller is about to write the first byte of a request to a node. */
    void sends(HttpMessage message, int node) {
        sent.put(message.value(NAMES.requestId()).orElseThrow(), new Sent(message, node));
    }

    /** Compares the ids that a message of any kind bears; returns whether callers have sent all of them. */
    boolean bearsSentIds(HttpMessage message, String upstream) {
        boolean known = true;
        for (String id : message.values(NAMES.requestId())) {
            if (!sent.containsKey(id)) {
                finds(
                        "unsent",
                        message.path(),
                        "id " + id + ", which no caller has sent, came to " + upstream + " with " + message.method()
                                + ' ' + message.path());
                known = false;
            }
        }
        return known;
    }

    /** An upstream is about to listen at an address. */
    void listens(String address, String upstream) {
        users.computeIfAbsent(address, a -> ConcurrentHashMap.newKeySet()).add(upstream);
    }

    /**
     * Compares the upstream that a message of any kind names with the one where it arrives. It may name one that used
     * the address before, which nodes may not know to be gone: such a message is not run.
     */
    void names(HttpMessage message, String address, String upstream) {
        List<String> named = message.values(NAMES.expectedUpstream());
        if (named.equals(List.of(upstream))) {
            return;
        }
        outdated.incrementAndGet();
        if (named.size() != 1 || !users.getOrDefault(address, Set.of()).contains(named.get(0))) {
            finds(
                    "foreign",
                    message.path(),
                    message.method() + ' ' + message.path() + " came to " + upstream + " at " + address + ", but names "
                            + named);
        }
    }

    /** Compares a message that is no call of stages; returns whether a caller has sent its request. */
    boolean arrives(HttpMessage message, String upstream) {
        requests.incrementAndGet();
        List<String> ids = message.values(NAMES.requestId());
        if (ids.size() != 1) {
            finds(
                    "unsent",
                    "ids",
                    message.method() + ' ' + message.target() + " came to " + upstream + " with ids " + ids);
            return false;
        }
        Sent request = sent.get(ids.get(0));
        if (request == null) {
            return false;
        }
        String where = ids.get(0) + " of node " + request.node() + " came to " + upstream + " with ";
        HttpMessage own = request.message();
        if (!message.method().equals(own.method()) || !message.target().equals(own.target())) {
            finds(
                    "altered",
                    "target",
                    where + message.method() + ' ' + message.target() + ", not " + own.method() + ' ' + own.target());
        }
        if (!message.body().equals(own.body())) {
            finds(
                    "altered",
                    "body",
                    where + "a body of " + message.body().length() + " bytes, not the "
                            + own.body().length() + " of its caller");
        }
        compareFields(own, message, where);
        compareAccount(own, message, where);
        compareSystemFields(request, message, where);
        return true;
    }

    private static Set<String> names(HttpMessage message) {
        Set<String> names = new HashSet<>();
        message.fields().forEach(field -> names.add(field.name().toLowerCase(Locale.ROOT)));
        return names;
    }

    private void compareFields(HttpMessage request, HttpMessage arrived, String where) {
        Set<String> names = names(request);
        names.addAll(names(arrived));
        names.removeAll(FRAMING);
        names.removeAll(NAMES.reserved());
        for (String name : names) {
            if (!request.values(name).equals(arrived.values(name))) {
                finds("altered", name, where + name + ' ' + arrived.values(name) + ", not " + request.values(name));
            }
        }
    }

    private void compareAccount(HttpMessage request, HttpMessage arrived, String where) {
        if (!arrived.values(AUTHORIZATION).isEmpty()) {
            finds("key", "passed on", where + "the key of its caller");
        }
        String account = request.value(AUTHORIZATION).orElse("").replace(KEY_PREFIX, "");
        if (!arrived.values(NAMES.account()).equals(List.of(account))) {
            finds("unasked", "account", where + "account " + arrived.values(NAMES.account()) + ", not " + account);
        }
    }

    private void compareSystemFields(Sent request, HttpMessage arrived, String where) {
        for (String name : List.of(NAMES.expectedUpstream(), NAMES.rank(), NAMES.deadline())) {
            if (arrived.values(name).size() != 1) {
                finds("altered", name, where + name + ' ' + arrived.values(name));
            }
        }
        if (number(arrived, NAMES.deadline()) > number(request.message(), NAMES.deadline())) {
            finds("altered", "deadline", where + "more time than its caller waits");
        }
        List<String> handles = handles(arrived);
        if (arrived.values(NAMES.inputs()).size() > 1 || !areInputs(handles, request, STAGES - 1)) {
            finds("mixed", "inputs", where + "inputs " + handles);
        }
        boolean resumes = !arrived.values(LAST_EVENT_ID).isEmpty();
        boolean names = !request.message().values(LAST_EVENT_ID).isEmpty();
        if (resumes && !request.request().isResumable()
                || names && !resumes
                || number(arrived, LAST_EVENT_ID) < number(request.message(), LAST_EVENT_ID)) {
            finds(
                    "altered",
                    LAST_EVENT_ID,
                    where + "Last-Event-Id " + arrived.values(LAST_EVENT_ID) + ", not "
                            + request.message().values(LAST_EVENT_ID) + " or later");
        }
    }

    private static long number(HttpMessage message, String name) {
        return message.value(name).map(Long::parseLong).orElse(0L);
    }

    private static List<String> handles(HttpMessage message) {
        String handles = message.value(NAMES.inputs()).orElse("");
        return handles.isEmpty() ? List.of() : Arrays.asList(handles.split(","));
    }

    /** Compares a call that has pieces made. */
    void arrives(List<Piece> call, String upstream) {
        Set<String> names = new HashSet<>();
        for (Piece piece : call) {
            pieces.incrementAndGet();
            compare(piece, upstream);
            if (!names.add(piece.name())) {
                finds("twice", "piece", piece.name() + " came to " + upstream + " twice in one call");
            }
        }
    }

    private void compare(Piece piece, String upstream) {
        Sent request = sent.get(piece.request());
        if (request == null) {
            finds(
                    "unsent",
                    "piece",
                    "a piece of " + piece.request() + ", which no caller has sent, came to " + upstream);
            return;
        }
        String where = piece.name() + " of node " + request.node() + " came to " + upstream + " with ";
        if (piece.number() < 0 || piece.number() >= request.pieces(piece.stage())) {
            finds("unsent", "number", where + "a number that its caller did not ask for");
        }
        String key = request.message().value(NAMES.pieceKey()).orElse("");
        boolean right = piece.stage() == 0
                ? piece.key().equals(key) && piece.inputs().isEmpty()
                : piece.key().isEmpty() && areInputs(piece.inputs(), request, piece.stage() - 1);
        if (!right) {
            finds("mixed", "piece", where + "key " + piece.key() + " and inputs " + piece.inputs());
        }
    }

    /** Says whether handles name all results of one stage of a request, each once, and nothing else. */
    private boolean areInputs(List<String> handles, Sent request, int stage) {
        Set<String> names = new HashSet<>();
        handles.forEach(handle -> names.add(nameOf(handle)));
        Set<String> expected = new HashSet<>();
        for (int number = 0; number < request.pieces(stage); number++) {
            expected.add(new Piece(request.request().id(), stage, number, "", List.of()).name());
        }
        return handles.size() == expected.size()
                && names.equals(expected)
                && made.keySet().containsAll(handles);
    }

    /** Returns the name of the piece that a handle stands for. */
    private static String nameOf(String handle) {
        String name = handle.substring(handle.indexOf('/') + 1);
        int end = name.indexOf(MAKER);
        return end < 0 ? name : name.substring(0, end);
    }

    /** Returns the handle of a result, which no other upstream gives to a result of its own, also at the same address. */
    static String handle(String address, Piece piece, String upstream) {
        return address + '/' + piece.name() + MAKER + upstream;
    }

    /** An upstream is about to return a result. */
    void makes(String handle, String upstream) {
        made.put(handle, upstream);
    }

    /**
     * Compares a call that releases results. The upstream that it names must have made all of them.
     *
     * @param handles  the results
     * @param named    upstream that the call names
     * @param pool     pool of the upstream where it arrives
     * @param upstream the upstream where it arrives
     */
    void releases(List<String> handles, String named, String pool, String upstream) {
        for (String handle : handles) {
            releases.incrementAndGet();
            String maker = made.get(handle);
            if (!named.equals(maker)) {
                finds(
                        "mixed",
                        "release " + pool,
                        "the release of " + handle + ", made by " + maker + ", came to " + upstream + " of pool " + pool
                                + " and names " + named);
            }
        }
    }

    /** Returns the findings, one line for each kind. */
    synchronized List<String> broken() {
        List<String> broken = new ArrayList<>();
        findings.forEach((kind, all) -> {
            String promise = kind.substring(0, kind.indexOf(' '));
            broken.add(promise + ": " + all.get(0) + (all.size() > 1 ? ", and " + (all.size() - 1) + " more" : ""));
        });
        return broken;
    }

    /** Returns how much was compared. */
    String summary() {
        return "sent=" + sent.size() + " requests=" + requests + " pieces=" + pieces + " releases=" + releases
                + " outdated=" + outdated;
    }

    private synchronized void finds(String promise, String kind, String what) {
        findings.computeIfAbsent(promise + ' ' + kind, k -> new ArrayList<>()).add(what);
    }

    /**
     * A request that a caller sent.
     *
     * @param message what was written
     * @param node    number of the node
     */
    private record Sent(HttpMessage message, int node) {

        private SoakRequest request() {
            return SoakRequest.parse(message.value(NAMES.requestId()).orElseThrow());
        }

        /** Returns how many pieces of a stage it asks for. */
        private int pieces(int stage) {
            String[] counts = message.value(NAMES.pieces()).orElse("0,0").split(",");
            return stage < 0 || stage >= counts.length ? 0 : Integer.parseInt(counts[stage]);
        }
    }

    /**
     * A piece that an upstream is asked for.
     *
     * @param request id of its request
     * @param stage   its stage, from 0
     * @param number  its number in the stage, from 0
     * @param key     key of the request, empty for stages that need results
     * @param inputs  handles of the results that it needs
     */
    record Piece(String request, int stage, int number, String key, List<String> inputs) {

        /** Reads a piece as a call names it. */
        static Piece read(JsonNode piece) {
            List<String> inputs = new ArrayList<>();
            piece.path("inputs").forEach(input -> inputs.add(input.asText()));
            return new Piece(
                    piece.path("request").asText(),
                    piece.path("stage").asInt(),
                    piece.path("piece").asInt(),
                    piece.path("key").asText(),
                    inputs);
        }

        /** Returns what names it, after the address of its upstream, in its handle. */
        String name() {
            return request + '/' + stage + '/' + number;
        }
    }
}
