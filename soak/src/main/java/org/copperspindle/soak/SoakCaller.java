package org.copperspindle.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToIntFunction;

import org.copperspindle.dialect.HeaderNames;
import org.copperspindle.http.ProblemDetails;
import org.copperspindle.soak.PromiseBook.Answer;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * A caller that sends one request after the other, and keeps an open connection until the process behind it is gone.
 */
final class SoakCaller implements Runnable {

    private static final HeaderNames NAMES = HeaderNames.STANDARD;
    private static final String VERDICT_FIELD = ProblemDetails.VERDICT_HEADER.toLowerCase(Locale.ROOT);
    private static final String RETRY_AFTER_FIELD = "retry-after";
    private static final int MILLIS = 1000;
    private static final int CONNECT_MILLIS = 1000;

    /** Longest silence of a stream that a caller who comes back waits for. */
    private static final int IDLE_MILLIS = 2000;

    private static final int DEADLINE_MILLIS = 4000;
    private static final int THINK_MILLIS = 60;
    private static final int MOST_PIECES = 4;
    private static final int FOR_ONE_CONNECTION = 30;
    private static final int MOST_TIMES_TAKEN_UP = 3;

    /** Share of streams whose connection is lost at the caller's end, where callers take streams up. */
    private static final double LOST_CONNECTIONS = 0.3;

    /** Bytes after which such a connection is lost at the latest. */
    private static final int LONGEST_READ = 1500;

    /** Of so many requests that take a stream up, one names a later request than the first. */
    private static final int LATER_NAMED = 5;

    private static final double REVOKED_SHARE = 0.2;

    /** Share of requests whose answers are large and are not read for a while once they have begun. */
    private static final double SLOW_SHARE = 0.03;

    /** The same while pools are short and most streams are refused. */
    private static final double SLOW_SHARE_IN_SHORTAGE = 0.1;

    private static final int SHORTEST_STALL_MILLIS = 500;

    /** Long enough that a long stream fills the buffers of its connection, and the node has to hold the rest. */
    private static final int SHORTEST_LONG_STALL_MILLIS = 1500;

    private static final int LONGEST_STALL_MILLIS = 3000;

    /** Of the connection of a slow reader, in bytes: little is on its way while it does not read. */
    private static final int SMALL_WINDOW = 1 << 16;

    private static final List<String> ROUTES =
            List.of(SoakRequest.SAFE, SoakRequest.ONCE, SoakRequest.DRAFT, SoakRequest.RESUME);

    private final AtomicLong numbers;
    private final List<NodePorts> nodes;
    private final PromiseBook book;
    private final SplittableRandom random;

    /** A generator of its own for what was added later: the other draws of a seed stay what they are. */
    private final SplittableRandom more;

    private volatile boolean ended;
    /** The request that is named as the one that brought events, while a stream is taken up. */
    private Optional<SoakRequest> resumes = Optional.empty();

    private Socket socket;
    private InputStream in;
    private int left;
    private int node;
    private long retryAfterMillis;
    private long deadlineMillis = DEADLINE_MILLIS;
    private int waitMillis = DEADLINE_MILLIS;
    private boolean elsewhere;
    private boolean inShortage;
    private String prompt = "shared:10,own:5";
    private Optional<LeaningBalancer> balancer = Optional.empty();
    private Optional<ToIntFunction<String>> enginesByVersion = Optional.empty();

    /** The last request on the open connection whose answer was whole; empty if there is none. */
    private String answered = "";

    SoakCaller(AtomicLong numbers, List<NodePorts> nodes, PromiseBook book, long seed) {
        this.numbers = numbers;
        this.nodes = nodes;
        this.book = book;
        this.random = new SplittableRandom(seed);
        this.more = new SplittableRandom(~seed);
    }

    /** Asks for long streams, as is done while pools are short. */
    SoakCaller inShortage() {
        inShortage = true;
        return this;
    }

    /**
     * Takes streams up that break off, at other nodes.
     *
     * @param engines returns how many engines of a version take requests
     */
    SoakCaller takingUp(ToIntFunction<String> engines) {
        enginesByVersion = Optional.of(engines);
        return this;
    }

    /** Opens a connection for each request, to the node that a balancer picks. */
    SoakCaller balancedBy(LeaningBalancer leaning) {
        balancer = Optional.of(leaning);
        return this;
    }

    void end() {
        ended = true;
    }

    @Override
    public void run() {
        while (!ended) {
            String account = random.nextDouble() < REVOKED_SHARE ? SoakOperator.REVOKED : lastingAccount();
            String route = ROUTES.get(random.nextInt(ROUTES.size()));
            int pieces = route.equals(SoakRequest.DRAFT) || route.equals(SoakRequest.RESUME)
                    ? 1 + random.nextInt(MOST_PIECES)
                    : 0;
            if (more.nextDouble() < (inShortage ? SLOW_SHARE_IN_SHORTAGE : SLOW_SHARE)) {
                askAndStall(lengthened(SoakRequest.large(numbers.incrementAndGet(), route, account, pieces)));
            } else {
                SoakRequest request = lengthened(SoakRequest.of(numbers.incrementAndGet(), route, account, pieces));
                Answer answer = ask(request);
                book.answered(request, answer);
                if (enginesByVersion.isPresent() && route.equals(SoakRequest.RESUME)) {
                    takeUp(request, answer);
                }
            }
            Pause.millis(random.nextInt(THINK_MILLIS));
        }
        close();
    }

    /** Takes a stream up until it is whole, a few times at most, each time on a new connection. */
    private void takeUp(SoakRequest first, Answer begun) {
        book.held().began(first.id(), begun.text());
        Map<Integer, String> events = new TreeMap<>(HeldStreams.events(begun.text()));
        SoakRequest brought = first;
        Answer last = begun;
        for (int i = 0; i < MOST_TIMES_TAKEN_UP && !last.isServed() && !events.isEmpty(); i++) {
            close();
            int held = Collections.max(events.keySet());
            SoakRequest next = first.takenUp(held, numbers.incrementAndGet());
            // Most name the request that brought the first event, some a later one that brought events as well.
            resumes = Optional.of(more.nextInt(LATER_NAMED) == 0 ? brought : first);
            int before = enginesByVersion.get().applyAsInt(events.get(held));
            last = ask(next);
            int after = enginesByVersion.get().applyAsInt(events.get(held));
            resumes = Optional.empty();
            book.answered(next, last);
            book.held().tookUp(first.id(), last.text(), Math.min(before, after), last.sentAt(), last.endedAt());
            Map<Integer, String> came = HeldStreams.events(last.text());
            events.putAll(came);
            brought = came.isEmpty() ? brought : next;
        }
    }

    private SoakRequest lengthened(SoakRequest request) {
        boolean isLong = inShortage || enginesByVersion.isPresent();
        return isLong && request.streams() ? request.lengthened() : request;
    }

    /** Sends a request, on the open connection if there is one. */
    Answer ask(SoakRequest request) {
        return ask(request, request.sentBody(), 0);
    }

    /**
     * Sends a request on a new connection, to another node than the last one.
     *
     * @param named          request that is named as the one that brought events, if the caller holds any
     * @param leftMillis     time that the caller has left
     */
    Answer askElsewhere(SoakRequest request, SoakRequest named, long leftMillis) {
        close();
        elsewhere = true;
        deadlineMillis = Math.max(1, leftMillis);
        resumes = Optional.of(named).filter(r -> request.heldEvents() > 0);
        Answer answer = ask(request, request.sentBody(), 0);
        close();
        return answer;
    }

    /**
     * Sends a request on a connection of its own, which is closed when nothing came for some time.
     *
     * @param deadline time that the request states, in milliseconds
     * @param waits    longest time without a byte, in milliseconds
     */
    Answer askAndLeave(SoakRequest request, int deadline, int waits) {
        close();
        deadlineMillis = deadline;
        waitMillis = waits;
        Answer answer = ask(request, request.sentBody(), 0);
        close();
        return answer;
    }

    /** Returns after which time the last answer asks its caller to come back, 0 if it does not. */
    long retryAfterMillis() {
        return retryAfterMillis;
    }

    /** Sends a request that ends upstreams, on a connection of its own. */
    Answer askFatal(SoakRequest request) {
        Answer answer = ask(request, SoakRequest.FATAL, 0);
        close();
        return answer;
    }

    /** Sends a request that no other is like, with a part of its prompt that ends upstreams, on a connection of its own. */
    Answer askFatalPart(SoakRequest request) {
        prompt = "shared:10," + SoakRequest.FATAL_PART + ":5,own-" + request.id() + ":5";
        Answer answer = ask(request, "body of " + request.id(), 0);
        close();
        return answer;
    }

    /** Sends a request on a connection of its own, and stops to read its answer for a while. */
    private void askAndStall(SoakRequest request) {
        int shortest = inShortage ? SHORTEST_LONG_STALL_MILLIS : SHORTEST_STALL_MILLIS;
        int stall = shortest + more.nextInt(LONGEST_STALL_MILLIS - shortest);
        SoakCaller connection = new SoakCaller(numbers, nodes, book, more.nextLong());
        book.answered(request, connection.ask(request, request.sentBody(), stall));
        connection.close();
    }

    /** Draws the first account most often, and each further one half as often. */
    private String lastingAccount() {
        int place = Long.numberOfTrailingZeros(more.nextLong());
        if (place == 0) {
            return SoakOperator.LASTING;
        }
        return SoakOperator.SMALLER.get(Math.min(place, SoakOperator.SMALLER.size()) - 1);
    }

    private Answer ask(SoakRequest request, String body, int stallMillis) {
        long sentAt = System.currentTimeMillis();
        Reply reply = new Reply();
        if (enginesByVersion.isPresent() && request.streams() && more.nextDouble() < LOST_CONNECTIONS) {
            reply.longest = 1 + more.nextInt(LONGEST_READ);
        }
        try {
            connect(stallMillis > 0);
            sentAt = System.currentTimeMillis();
            String text = text(request, body) + body;
            book.sent().sends(HttpMessage.parse(text), node);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            reply.read(in, stallMillis);
        } catch (IOException e) {
            // The connection broke or nothing came in time: what had come by then is the answer.
            close();
        }
        retryAfterMillis = (long) (MILLIS * Double.parseDouble(reply.fields.getOrDefault(RETRY_AFTER_FIELD, "0")));
        if (reply.whole) {
            answered = request.id();
        }
        if (!reply.whole || reply.closes) {
            close();
        }
        boolean notRun = List.of(503, 429, 408, 421).contains(reply.status)
                || NotRunVerdict.LABEL.equals(reply.fields.get(VERDICT_FIELD));
        return new Answer(
                reply.status,
                reply.body.toString(StandardCharsets.UTF_8),
                reply.whole,
                reply.whole && notRun,
                sentAt,
                node,
                reply.firstAt,
                System.currentTimeMillis());
    }

    private void connect(boolean smallWindow) throws IOException {
        if (socket != null && left-- > 0) {
            checkAnsweredOnce();
            return;
        }
        close();
        int any =
                elsewhere ? (node + 1 + random.nextInt(nodes.size() - 1)) % nodes.size() : random.nextInt(nodes.size());
        Optional<Integer> lean = balancer.flatMap(b -> b.lean(more.nextDouble()));
        NodePorts ports = nodes.get(lean.orElse(any));
        node = ports.domain();
        Socket next = new Socket();
        next.setSoTimeout(elsewhere ? IDLE_MILLIS : waitMillis);
        if (smallWindow) {
            next.setReceiveBufferSize(SMALL_WINDOW);
        }
        next.connect(ports.socketAddress(ports.callers()), CONNECT_MILLIS);
        socket = next;
        in = new BufferedInputStream(next.getInputStream());
        left = balancer.isPresent() ? 0 : random.nextInt(FOR_ONE_CONNECTION);
    }

    /** Nothing was asked since the last whole answer, so nothing may have come. */
    private void checkAnsweredOnce() throws IOException {
        int extra = answered.isEmpty() ? 0 : in.available();
        if (extra > 0) {
            book.breaks("answers: " + extra + " bytes came after the whole answer to " + answered);
        }
        answered = "";
    }

    private String text(SoakRequest request, String body) {
        return "POST " + request.target(body) + " HTTP/1.1\r\nHost: h\r\n" + NAMES.requestId() + ": " + request.id()
                + "\r\nAuthorization: Bearer key-" + request.account() + "\r\n" + NAMES.deadline() + ": "
                + deadlineMillis + "\r\n" + NAMES.prompt() + ": " + prompt + "\r\n" + NAMES.pieces() + ": "
                + request.pieces() + ',' + request.pieces() + "\r\n" + NAMES.pieceKey() + ": " + request.pieceKey()
                + takenUpFields(request) + request.reservedFields() + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n";
    }

    private String takenUpFields(SoakRequest request) {
        return resumes.map(named ->
                        "\r\nLast-Event-Id: " + request.heldEvents() + "\r\n" + NAMES.resumes() + ": " + named.id())
                .orElse("");
    }

    private void close() {
        try {
            if (socket != null) {
                checkAnsweredOnce();
                socket.close();
            }
        } catch (IOException e) {
            // Nothing is left to close.
            socket = null;
        }
        socket = null;
    }

    /** An answer as far as it was read. */
    private static final class Reply {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final Map<String, String> fields = new HashMap<>();
        private int status;
        private boolean whole;
        private boolean closes;
        private long firstAt;
        private int longest = Integer.MAX_VALUE;

        private void read(InputStream in, int stallMillis) throws IOException {
            String first = line(in);
            status = Integer.parseInt(first.split(" ")[1]);
            for (String field = line(in); !field.isEmpty(); field = line(in)) {
                int colon = field.indexOf(':');
                fields.put(
                        field.substring(0, colon).toLowerCase(Locale.ROOT),
                        field.substring(colon + 1).trim());
            }
            Pause.millis(stallMillis);
            closes = "close".equalsIgnoreCase(fields.get("connection"));
            if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
                readChunks(in);
            } else {
                copy(in, Integer.parseInt(fields.getOrDefault("content-length", "0")));
            }
            whole = true;
        }

        private void readChunks(InputStream in) throws IOException {
            for (int length = Integer.parseInt(line(in), 16); length > 0; length = Integer.parseInt(line(in), 16)) {
                copy(in, length);
                line(in);
            }
            line(in);
        }

        private void copy(InputStream in, int length) throws IOException {
            if (firstAt == 0 && length > 0) {
                firstAt = System.currentTimeMillis();
            }
            for (int i = 0; i < length; i++) {
                body.write(next(in));
                if (body.size() >= longest) {
                    throw new EOFException();
                }
            }
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = next(in); c != '\n'; c = next(in)) {
                line.append((char) c);
            }
            return line.toString().trim();
        }

        private static int next(InputStream in) throws IOException {
            int c = in.read();
            if (c < 0) {
                throw new EOFException();
            }
            return c;
        }
    }
}
