package org.copperspindle.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import org.copperspindle.dialect.HeaderNames;
import org.copperspindle.dialect.JsonText;
import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.soak.SentRequests.Piece;

/**
 * A stand-in for an upstream. It writes down what it runs, and says when it is asked for what no caller wants.
 */
final class SoakUpstream implements AutoCloseable {

    static final String WEB = "web";
    static final String ENGINE = "engine";
    static final String STAGE = "stage";

    /** Runs the second stage while pools are short; its pool is the first one of the group by name. */
    static final String LATER_STAGE = "later";

    private static final String PIECES_PATH = "/v1/pieces";
    private static final String RELEASE_PATH = "/v1/results/free";
    private static final HeaderNames NAMES = HeaderNames.STANDARD;
    private static final Duration ACKNOWLEDGED = Duration.ofSeconds(1);
    private static final AtomicLong LAST = new AtomicLong();
    private static final int EVENT_MILLIS = 15;
    private static final int CALL_MILLIS = 30;

    /** Time of a call and of each of its pieces while pools are short, as the route table states it. */
    static final int SHORT_CALL_MILLIS = 120;

    static final int SHORT_PIECE_MILLIS = 10;

    /** Time of a call of a later stage for which groups wait, as the route table states it. */
    static final int SLOW_CALL_MILLIS = 300;

    /** How much longer calls take while an upstream is slowed down. */
    private static final int SLOWDOWN = 4;

    /** Between two events of a long stream; below the longest pause that the route table states. */
    private static final int LONG_EVENT_MILLIS = 40;

    /** The same of a stream that lasts for seconds. */
    private static final int PACED_EVENT_MILLIS = 120;

    private static final int LOOK_MILLIS = 10;
    private static final int SLOTS = 16;
    static final int DOMAINS = 3;
    private static final String DRAINING = "draining";
    private static final long ASK_AGAIN_MILLIS = 50;
    private static final double REFUSES = 0.03;
    private static final double BREAKS = 0.03;

    /** The same for long streams: enough of them are resumed to be judged. */
    private static final double LONG_BREAKS = 0.15;

    /** A long stream may be silent for as long before it breaks; it has time left to be resumed. */
    private static final int LONGEST_STALL_MILLIS = 1000;

    /** Results that exist, over all upstreams of one soak. */
    private final Set<String> results;

    private final long life = LAST.incrementAndGet();
    private final String id = "u" + life;
    private final String pool;
    private final PromiseBook book;
    private final List<NodePorts> nodes;
    private final HttpListener listener;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(ACKNOWLEDGED)
            .build();
    private final Consumer<SoakUpstream> ends;
    private final Set<HttpExchange> open = ConcurrentHashMap.newKeySet();
    private final Random random;
    private volatile ColdStart coldStart = ColdStart.WARM;
    private volatile UpstreamNeed need = UpstreamNeed.NONE;
    private volatile UpstreamSpeed speed = UpstreamSpeed.USUAL;
    private final AtomicLong sequence = new AtomicLong();
    private volatile String phase = "ready";
    private volatile boolean ended;
    private volatile boolean inShortage;
    private volatile boolean laterPool;
    private volatile long slowUntil;
    private volatile String software = "";
    private volatile long silentUntil;
    private long busyUntil;

    SoakUpstream(
            SoakPlace place,
            PromiseBook book,
            List<NodePorts> nodes,
            Set<String> results,
            Consumer<SoakUpstream> ends,
            Random random,
            MultiThreadIoEventLoopGroup group) {
        this.pool = place.pool();
        this.book = book;
        this.nodes = nodes;
        this.results = results;
        this.ends = ends;
        this.random = random;
        this.listener = new HttpListener(group, place.address(), () -> HttpLimits.DEFAULT, this::handle);
        book.sent().listens(address(), id);
    }

    /** Sets what it bears after its start; before its first announcement. */
    SoakUpstream starting(ColdStart start) {
        coldStart = start;
        return this;
    }

    /** Sets what it asks of the nodes; before its first announcement. */
    SoakUpstream needing(UpstreamNeed needs) {
        need = needs;
        return this;
    }

    /** Sets how fast it works; before its first announcement. */
    SoakUpstream working(UpstreamSpeed pace) {
        speed = pace;
        return this;
    }

    /** Runs calls one after the other, as slowly as is stated while pools are short; before its first announcement. */
    SoakUpstream inShortage() {
        inShortage = true;
        return this;
    }

    /** Leaves the second stage to a pool of its own, which is slow; before its first announcement. */
    SoakUpstream withLaterPool() {
        laterPool = true;
        return this;
    }

    /** Takes longer for its calls for some time. */
    void slowDown(long millis) {
        slowUntil = System.currentTimeMillis() + millis;
    }

    /** Sets the version of its software, which it writes into its events; before its first announcement. */
    SoakUpstream running(String version) {
        software = version;
        return this;
    }

    String software() {
        return software;
    }

    /** Says whether it takes new requests. */
    boolean isReady() {
        return !ended && !phase.equals(DRAINING);
    }

    /** Sends nothing on its streams for some time. */
    void silence(long millis) {
        silentUntil = System.currentTimeMillis() + millis;
    }

    /** Returns the name of a failure domain by its number. */
    static String failureDomain(long number) {
        return "d" + number % DOMAINS;
    }

    /** Returns the failure domain of an upstream. */
    static String domainOf(String upstream) {
        return failureDomain(Long.parseLong(upstream.substring(1)));
    }

    static Set<String> noResults() {
        return ConcurrentHashMap.newKeySet();
    }

    String pool() {
        return pool;
    }

    /** Returns the place of an upstream of a pool that uses the address of this one. */
    SoakPlace at(String otherPool) {
        return new SoakPlace(otherPool, listener.address().getPort());
    }

    /** Announces itself to one node; returns whether that was acknowledged. */
    boolean announce() {
        if (ended) {
            return false;
        }
        NodePorts node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
        String body = JsonText.nodes()
                .objectNode()
                .put("pool", pool)
                .put("address", address())
                .put("failure_domain", domainOf(id))
                .put("phase", phase)
                .put("slots", SLOTS)
                .put("sequence", sequence.incrementAndGet())
                .put("cold_ms", coldStart.leftMillis(System.currentTimeMillis()))
                .put("software", software)
                .toString();
        URI uri = URI.create("http://" + node.address(node.control()) + "/v1/upstreams/" + id);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(ACKNOWLEDGED)
                .PUT(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            // The node is down or cut off: the next announcement goes to another.
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Says that it drains, until that is acknowledged. */
    void drain() {
        phase = DRAINING;
        while (!ended && !announce() && !Thread.currentThread().isInterrupted()) {
            Pause.millis(ASK_AGAIN_MILLIS);
        }
        book.drained(id, System.currentTimeMillis());
    }

    /** Ends as a process does that is killed: all connections break, and nothing listens. */
    void crash() {
        ended = true;
        close();
        open.forEach(SoakUpstream::abortResponse);
    }

    @Override
    public void close() {
        listener.close();
        results.removeIf(handle -> id.equals(handle.substring(handle.lastIndexOf('.') + 1)));
    }

    private String address() {
        return "127.0.0.1:" + listener.address().getPort();
    }

    private void handle(HttpExchange exchange) {
        boolean known = isSent(exchange);
        if (ended) {
            abortResponse(exchange);
            return;
        }
        open.add(exchange);
        exchange.onClosed(() -> open.remove(exchange));
        boolean meant =
                exchange.header(NAMES.expectedUpstream()).filter(id::equals).isPresent();
        if (meant) {
            need.arrives(System.currentTimeMillis()).ifPresent(broken -> book.breaks(broken + " at " + id));
        }
        if (meant && need.turnsAway()) {
            exchange.respond(503, fields(new HeaderField(NAMES.notRun(), "1")), new byte[0]);
        } else if (!meant) {
            exchange.respond(421, List.of(new HeaderField(NAMES.answeringUpstream(), id)), new byte[0]);
        } else if (exchange.path().equals(PIECES_PATH)) {
            later(exchange, callMillis(exchange), () -> makePieces(exchange));
        } else if (exchange.path().equals(RELEASE_PATH)) {
            read(exchange).path("handles").forEach(handle -> results.remove(handle.asText()));
            exchange.respond(200, fields(callId(exchange)), "{}".getBytes(StandardCharsets.UTF_8));
        } else if (known) {
            runRequest(exchange);
        } else {
            exchange.respond(400, fields(new HeaderField(NAMES.notRun(), "1")), new byte[0]);
        }
    }

    /** Compares what has arrived, run or not, with what callers sent; returns whether it is a request of a caller. */
    private boolean isSent(HttpExchange exchange) {
        HttpMessage message = HttpMessage.of(exchange);
        book.sent().bearsSentIds(message, id);
        book.sent().names(message, address(), id);
        if (exchange.path().equals(PIECES_PATH)) {
            List<Piece> pieces = new ArrayList<>();
            read(exchange).path("pieces").forEach(piece -> pieces.add(Piece.read(piece)));
            book.sent().arrives(pieces, id);
            return false;
        }
        if (exchange.path().equals(RELEASE_PATH)) {
            List<String> handles = new ArrayList<>();
            read(exchange).path("handles").forEach(handle -> handles.add(handle.asText()));
            String named = message.value(NAMES.expectedUpstream()).orElse("");
            book.sent().releases(handles, named, pool, id);
            return false;
        }
        return book.sent().arrives(message, id);
    }

    private long callMillis(HttpExchange exchange) {
        boolean slow = laterPool && pool.equals(LATER_STAGE);
        if (!inShortage && !slow) {
            return speed.scaled(CALL_MILLIS);
        }
        return waitForTurn(read(exchange).path("pieces").size(), inShortage ? SHORT_CALL_MILLIS : SLOW_CALL_MILLIS);
    }

    /** Returns when a call of so many pieces is done, after those that came before it. */
    private synchronized long waitForTurn(int pieces, int callMillis) {
        long now = System.currentTimeMillis();
        long takes = speed.scaled(callMillis + (long) pieces * SHORT_PIECE_MILLIS);
        busyUntil = Math.max(now, busyUntil) + (now < slowUntil ? SLOWDOWN * takes : takes);
        return busyUntil - now;
    }

    /** Adds what it says of itself to the fields of an answer. */
    private List<HeaderField> fields(HeaderField... own) {
        List<HeaderField> fields = new ArrayList<>(Arrays.asList(own));
        fields.addAll(need.fields(System.currentTimeMillis()));
        fields.addAll(speed.fields(open.size(), SLOTS));
        if (phase.equals(DRAINING)) {
            fields.add(new HeaderField(NAMES.leaving(), "1"));
        }
        return fields;
    }

    /** Returns the id that a response repeats, if the call bears one. */
    private static HeaderField[] callId(HttpExchange exchange) {
        return exchange.header(NAMES.requestId()).stream()
                .map(id -> new HeaderField(NAMES.requestId(), id))
                .toArray(HeaderField[]::new);
    }

    private static void abortResponse(HttpExchange exchange) {
        // Only an answer that has begun can be broken off; where it has, this does nothing.
        exchange.start(200, List.of());
        exchange.abortResponse();
    }

    private void runRequest(HttpExchange exchange) {
        SoakRequest request =
                SoakRequest.parse(exchange.header(NAMES.requestId()).orElseThrow());
        judge(request);
        if (coldStart.isTooMuch(System.currentTimeMillis())) {
            book.breaks("cold: " + id + " got " + request.id() + " beyond what it bears");
        }
        boolean gone = !results.containsAll(inputs(exchange));
        if (gone || random.nextDouble() < REFUSES) {
            List<HeaderField> refusal =
                    fields(new HeaderField(NAMES.requestId(), request.id()), new HeaderField(NAMES.notRun(), "1"));
            exchange.respond(gone ? 409 : 503, refusal, new byte[0]);
            return;
        }
        book.ran(request.id(), id, System.currentTimeMillis());
        if (new String(exchange.body(), StandardCharsets.UTF_8).equals(SoakRequest.FATAL)) {
            book.fatalRequest().ended(System.currentTimeMillis());
            ends.accept(this);
            return;
        }
        if (exchange.header(NAMES.prompt()).orElse("").contains(SoakRequest.FATAL_PART)) {
            book.fatalPart().ended(System.currentTimeMillis());
            ends.accept(this);
            return;
        }
        boolean breaks = random.nextDouble() < (breaksOften(request) ? LONG_BREAKS : BREAKS);
        List<HeaderField> fields = fields(new HeaderField(NAMES.requestId(), request.id()));
        if (request.streams()) {
            int after = Integer.parseInt(exchange.header("Last-Event-Id").orElse("0"));
            int last = breaks ? after + random.nextInt(request.events()) : request.events();
            exchange.start(200, fields);
            stream(
                    exchange,
                    request,
                    after + 1,
                    last,
                    book.work().begins(request.id(), id, System.currentTimeMillis()));
        } else if (breaks) {
            exchange.start(200, fields);
            exchange.abortResponse();
        } else {
            byte[] body = request.body().getBytes(StandardCharsets.UTF_8);
            later(exchange, speed.scaled(random.nextInt(EVENT_MILLIS)), () -> exchange.respond(200, fields, body));
        }
    }

    private boolean breaksOften(SoakRequest request) {
        return request.streams() && (inShortage || !software.isEmpty());
    }

    private void stream(HttpExchange exchange, SoakRequest request, int number, int last, StreamWork.Span work) {
        if (ended || !open.contains(exchange)) {
            work.ends(System.currentTimeMillis());
        } else if (!exchange.isWritable() || System.currentTimeMillis() < silentUntil) {
            later(exchange, LOOK_MILLIS, () -> stream(exchange, request, number, last, work));
        } else if (number > request.events()) {
            work.ends(System.currentTimeMillis());
            exchange.finish();
        } else if (number > last) {
            int stall = inShortage ? random.nextInt(LONGEST_STALL_MILLIS) : 0;
            breakOff(exchange, System.currentTimeMillis() + stall, work);
        } else if (exchange.write(event(request, number))) {
            long pause = speed.scaled(eventMillis(request));
            later(exchange, pause, () -> stream(exchange, request, number + 1, last, work));
        } else {
            work.ends(System.currentTimeMillis());
        }
    }

    private int eventMillis(SoakRequest request) {
        if (request.isPaced()) {
            return PACED_EVENT_MILLIS;
        }
        return inShortage ? LONG_EVENT_MILLIS : EVENT_MILLIS;
    }

    private String event(SoakRequest request, int number) {
        String event = request.event(number);
        return software.isEmpty() ? event : HeldStreams.writtenBy(software, event);
    }

    private void breakOff(HttpExchange exchange, long at, StreamWork.Span work) {
        long now = System.currentTimeMillis();
        if (!ended && open.contains(exchange) && now < at) {
            later(exchange, LOOK_MILLIS, () -> breakOff(exchange, at, work));
            return;
        }
        work.ends(now);
        exchange.abortResponse();
    }

    private void judge(SoakRequest request) {
        if (!pool.equals(request.streams() ? ENGINE : WEB)) {
            book.breaks("route: " + request.id() + " came to pool " + pool);
        }
    }

    private static List<String> inputs(HttpExchange exchange) {
        String handles = exchange.header(NAMES.inputs()).orElse("");
        return handles.isEmpty() ? List.of() : Arrays.asList(handles.split(","));
    }

    private void makePieces(HttpExchange exchange) {
        ObjectNode answer = JsonText.nodes().objectNode();
        ArrayNode made = answer.putArray("pieces");
        for (JsonNode each : read(exchange).path("pieces")) {
            ObjectNode out = made.addObject();
            Piece piece = Piece.read(each);
            if (!pool.equals(piece.stage() > 0 && (inShortage || laterPool) ? LATER_STAGE : STAGE)) {
                book.breaks("route: " + piece.name() + " came to pool " + pool);
            }
            book.madePiece(piece.request(), id, System.currentTimeMillis());
            if (!results.containsAll(piece.inputs())) {
                out.put("missed", "input-gone");
                continue;
            }
            String handle = SentRequests.handle(address(), piece, id);
            book.sent().makes(handle, id);
            results.add(handle);
            out.put("handle", handle);
        }
        exchange.respond(200, fields(callId(exchange)), answer.toString().getBytes(StandardCharsets.UTF_8));
    }

    private JsonNode read(HttpExchange exchange) {
        try {
            return JsonText.read(exchange.body());
        } catch (IOException e) {
            book.breaks("altered: a call that is not JSON came to " + id + " with " + exchange.path());
            return JsonText.nodes().objectNode();
        }
    }

    private static void later(HttpExchange exchange, long millis, Runnable task) {
        exchange.scheduler().schedule(task, millis, TimeUnit.MILLISECONDS);
    }
}
