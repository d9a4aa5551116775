package org.copperspindle.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.copperspindle.memory.HeldMemories;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class HttpListenerTest {

    private static final Duration LONG = Duration.ofSeconds(60);
    private static final Duration SHORT = Duration.ofMillis(100);
    private static final HttpLimits LIMITS = new HttpLimits(256, 1024, 64, 100, LONG, LONG, LONG, LONG, 64 << 10);
    private static final String GET = "GET /echo/%s HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String POST = "POST /echo HTTP/1.1\r\nHost: a\r\n";

    private final ExecutorService others = Executors.newFixedThreadPool(4);
    private final Queue<HttpExchange> held = new ConcurrentLinkedQueue<>();
    private HttpListener listener;

    @AfterEach
    void close() {
        listener.close();
        others.shutdownNow();
    }

    static Stream<Arguments> refusedRequests() {
        return Stream.of(
                refusal(
                        "length and chunked",
                        POST + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                refusal("two lengths", POST + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"),
                refusal("one length twice", POST + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
                refusal("list of lengths", POST + "Content-Length: 3, 3\r\n\r\nabc"),
                refusal("negative length", POST + "Content-Length: -3\r\n\r\nabc"),
                refusal("signed length", POST + "Content-Length: +3\r\n\r\nabc"),
                refusal("folded header", POST + "Content-Length:\r\n 3\r\n\r\nabc"),
                refusal("folded field", POST + "Content-Length: 3\r\nA: b\r\n c\r\n\r\nabc"),
                refusal("folded coding", POST + "Transfer-Encoding:\r\n\tchunked\r\n\r\n0\r\n\r\n"),
                refusal("space before colon", POST + "Content-Length : 3\r\n\r\nabc"),
                refusal("chunk size not hexadecimal", POST + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
                refusal("chunk size of 2^68", POST + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n"),
                refusal("negative chunk size", POST + "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n"),
                refusal("chunk longer than its size", POST + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n"),
                refusal("coding before chunked", POST + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
                refusal(
                        "chunked twice",
                        POST + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                refusal("unknown coding", POST + "Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc"),
                refusal("HTTP/1.0 chunked", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                refusal("no host", "GET / HTTP/1.1\r\n\r\n"),
                refusal("two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"),
                refusal("asterisk", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"),
                refusal("authority", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n"),
                refusal("bad escape", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n"),
                refusal("no HTTP at all", "\u0000\u0001\u0002 hello\r\n\r\n"),
                refusal("line feeds alone", "GET / HTTP/1.1\nHost: a\n\n"),
                Arguments.of("other version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505, "http-version"),
                Arguments.of("long line", "GET /" + "a".repeat(300) + " HTTP/1.1\r\n", 414, "request-line-too-long"),
                Arguments.of("large header", "GET / HTTP/1.1\r\nA: " + "a".repeat(2000), 431, "header-too-large"),
                Arguments.of("large body", POST + "Content-Length: 65\r\n\r\n", 413, "body-too-large"),
                Arguments.of(
                        "large chunks",
                        POST + "Transfer-Encoding: chunked\r\n\r\n" + ("20\r\n" + "a".repeat(32) + "\r\n").repeat(3),
                        413,
                        "body-too-large"),
                Arguments.of("expectation", POST + "Expect: tea\r\nContent-Length: 3\r\n\r\n", 417, "expectation"));
    }

    /**
     * A caller or a proxy sends bytes that are no request or that two servers could parse as different requests. It
     * must get one problem with verdict NOT_RUN and its connection must close; bytes behind the refused ones must
     * not count as a request, and another caller's connection must keep working.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("refusedRequests")
    void refusedWithProblemAndClose(String name, String bytes, int status, String reason) throws Exception {
        listen(LIMITS, HttpListenerTest::echo);
        try (RawCaller good = new RawCaller(listener.address());
                RawCaller bad = new RawCaller(listener.address())) {
            good.send(GET.formatted("1")).readUntil("GET /echo/1 ");
            bad.send(bytes + GET.formatted("smuggled"));

            String answer = bad.readToEnd();

            assertThat(answer).startsWith("HTTP/1.1 " + status + " ").contains("urn:copperspindle:problem:" + reason);
            assertThat(answer).containsOnlyOnce("HTTP/1.1").doesNotContain("smuggled");
            assertThat(answer.toLowerCase()).contains("copperspindle-verdict: not_run", "connection: close");
            good.send(GET.formatted("2")).readUntil("GET /echo/2 ");
        }
        assertThat(listener.counters().refusedRequests()).isEqualTo(1);
        assertThat(listener.counters().requests()).isEqualTo(3);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "GET http://a.example/echo/x?y=1 HTTP/1.1, Host: a, true",
        "GET /echo/x HTTP/1.0, A: b, false",
        "GET /echo/x HTTP/1.0, Connection: keep-alive, false",
        "GET /echo/x HTTP/1.1, 'Host: a\r\nConnection: close', false"
    })
    void answersUnusualRequests(String line, String field, boolean kept) throws Exception {
        listen(LIMITS, HttpListenerTest::echo);
        try (RawCaller caller = new RawCaller(listener.address())) {
            caller.send(line + "\r\n" + field + "\r\n\r\n");
            if (kept) {
                caller.readUntil("GET /echo/x ");
                caller.send(GET.formatted("2")).readUntil("GET /echo/2 ");
            } else {
                assertThat(caller.readToEnd()).contains("connection: close").endsWith("GET /echo/x ");
            }
        }
    }

    @Test
    void headHasTheHeaderFieldsAndNoBody() throws Exception {
        listen(LIMITS, HttpListenerTest::echo);
        try (RawCaller caller = new RawCaller(listener.address())) {
            caller.send("HEAD /echo HTTP/1.1\r\nHost: a\r\n\r\n" + GET.formatted("2"));
            assertThat(caller.readUntil("GET /echo/2 ")).contains("content-length: 11\r\n\r\nHTTP/1.1 200");
        }
    }

    /**
     * 100 Continue for a pipelined request must wait for the response to the request before it; the caller would
     * take it for that response.
     */
    @Test
    void continueIsSentInOrder() throws Exception {
        listen(LIMITS, held::add);
        try (RawCaller caller = new RawCaller(listener.address())) {
            caller.send(GET.formatted("1") + POST + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
            await(() -> held.size() == 1);
            echo(held.poll());
            assertThat(caller.readUntil("100 Continue\r\n\r\n"))
                    .startsWith("HTTP/1.1 200")
                    .contains("GET /echo/1 ");
            caller.send("abc");
            await(() -> held.size() == 1);
            echo(held.poll());
            caller.readUntil("POST /echo abc");
        }
    }

    /** 300 pipelined requests are answered by four other threads. The responses must arrive in order and unmixed. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        listen(LIMITS, exchange -> others.execute(() -> echo(exchange)));
        try (RawCaller caller = new RawCaller(listener.address())) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                all.append(GET.formatted(i));
            }
            caller.send(all.toString());
            for (int i = 0; i < 300; i++) {
                assertThat(caller.readUntil("GET /echo/" + i + " ")).containsOnlyOnce("HTTP/1.1 200");
            }
        }
    }

    /**
     * The caller disconnects while its response is pending. The close listener must be called once; responses and
     * chunks sent afterwards are counted and dropped.
     */
    @Test
    void closeListenerIsCalledOnceAndLateResponsesAreDropped() throws Exception {
        listen(LIMITS, held::add);
        AtomicInteger notifications = new AtomicInteger();
        RawCaller caller = new RawCaller(listener.address());
        caller.send(GET.formatted("1"));
        await(() -> held.size() == 1);
        HttpExchange exchange = held.poll();
        exchange.onClosed(notifications::incrementAndGet);
        caller.close();
        await(() -> notifications.get() == 1);

        echo(exchange);
        exchange.start("text/plain", Map.of());
        assertThat(exchange.write("late")).isFalse();
        exchange.finish();

        AtomicInteger laterNotifications = new AtomicInteger();
        exchange.onClosed(laterNotifications::incrementAndGet);
        assertThat(laterNotifications).hasValue(1);
        assertThat(notifications).hasValue(1);
        assertThat(listener.counters().lateResponses()).isEqualTo(4);
        await(() -> listener.counters().inProgress() == 0 && listener.counters().connections() == 0);
    }

    /**
     * Four threads answer the same exchange at once. The caller must get one response, and the next request its own.
     */
    @Test
    void exchangeIsAnsweredOnce() throws Exception {
        listen(LIMITS, held::add);
        try (RawCaller caller = new RawCaller(listener.address())) {
            for (int round = 0; round < 50; round++) {
                caller.send(GET.formatted(round));
                await(() -> held.size() == 1);
                HttpExchange exchange = held.poll();
                CountDownLatch answered = new CountDownLatch(4);
                for (int i = 0; i < 4; i++) {
                    others.execute(() -> {
                        echo(exchange);
                        answered.countDown();
                    });
                }
                assertThat(answered.await(20, TimeUnit.SECONDS)).isTrue();
                assertThat(caller.readUntil("GET /echo/" + round + " ")).containsOnlyOnce("HTTP/1.1 200");
            }
        }
        assertThat(listener.counters().lateResponses()).isEqualTo(150);
    }

    @ParameterizedTest
    @CsvSource({"false, 500", "true, 200"})
    void failingHandlerIsAnsweredOnce(boolean answersFirst, int status) throws Exception {
        listen(LIMITS, exchange -> {
            if (answersFirst) {
                echo(exchange);
            }
            throw new IllegalStateException("on purpose");
        });
        try (RawCaller caller = new RawCaller(listener.address())) {
            caller.send("GET /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            assertThat(caller.readToEnd())
                    .startsWith("HTTP/1.1 " + status)
                    .containsOnlyOnce("HTTP/1.1")
                    .contains(answersFirst ? "GET /echo" : "MAY_HAVE_RUN");
        }
        assertThat(listener.counters().handlerFailures()).isEqualTo(1);
    }

    /**
     * A caller sends its request byte by byte, with short gaps. The timeout covers the whole request; otherwise a
     * few thousand such callers could hold all connections forever.
     */
    @ParameterizedTest
    @CsvSource({"'GET /echo HTTP/1.1\r\nA: '", "'POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'"
    })
    void slowSenderIsRefused(String start) throws Exception {
        listen(new HttpLimits(256, 1 << 30, 1 << 30, 100, SHORT, SHORT, LONG, LONG, 1024), HttpListenerTest::echo);
        try (RawCaller caller = new RawCaller(listener.address())) {
            caller.send(start);
            await(() -> {
                try {
                    caller.send(start.contains("chunked") ? "1\r\na\r\n" : "a");
                    return listener.counters().slowSenders() == 1;
                } catch (IOException e) {
                    return true;
                }
            });
            assertThat(caller.readToEnd()).startsWith("HTTP/1.1 408").contains("request-timeout");
        }
    }

    @Test
    void silentConnectionIsClosed() throws Exception {
        listen(new HttpLimits(256, 1024, 64, 100, SHORT, SHORT, SHORT, LONG, 1024), HttpListenerTest::echo);
        try (RawCaller silent = new RawCaller(listener.address());
                RawCaller idle = new RawCaller(listener.address())) {
            idle.send(GET.formatted("1"));
            assertThat(silent.readToEnd()).isEmpty();
            assertThat(idle.readToEnd()).endsWith("GET /echo/1 ");
        }
    }

    /** Guards against an answer to a request that was not read: its caller could not try another node at once. */
    @Test
    void connectionsThatAreNotAdmittedAreClosedUnread() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        listener = new HttpListener(
                group, any, () -> LIMITS, HttpListenerTest::echo, HeldMemories.ofCallers(), open -> open < 2);
        try (RawCaller first = new RawCaller(listener.address());
                RawCaller second = new RawCaller(listener.address())) {
            first.send(GET.formatted("1")).readUntil("GET /echo/1 ");
            assertThat(second.readToEnd()).isEmpty();
            first.send(GET.formatted("2")).readUntil("GET /echo/2 ");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
        assertThat(listener.counters().shedConnections()).isEqualTo(1);
        assertThat(listener.counters().requests()).isEqualTo(2);
    }

    @Test
    void connectionsBeyondTheLimitAreRefused() throws Exception {
        listen(new HttpLimits(256, 1024, 64, 2, LONG, LONG, LONG, LONG, 1024), HttpListenerTest::echo);
        try (RawCaller first = new RawCaller(listener.address());
                RawCaller second = new RawCaller(listener.address())) {
            first.send(GET.formatted("1")).readUntil("GET /echo/1 ");
            second.send(GET.formatted("2")).readUntil("GET /echo/2 ");
            try (RawCaller third = new RawCaller(listener.address())) {
                assertThat(third.readToEnd()).startsWith("HTTP/1.1 503").contains("too-many-connections", "NOT_RUN");
            }
            first.send(GET.formatted("3")).readUntil("GET /echo/3 ");
        }
        await(() -> listener.counters().connections() == 0);
        try (RawCaller later = new RawCaller(listener.address())) {
            later.send(GET.formatted("4")).readUntil("GET /echo/4 ");
        }
        assertThat(listener.counters().refusedConnections()).isEqualTo(1);
    }

    /**
     * A caller reads nothing of a long chunked response. At the limit of pending bytes the connection must be closed
     * without the end of the response; pending bytes must never exceed the limit, and the close listener is called
     * once.
     */
    @Test
    void pendingBytesOfSlowReaderAreBounded() throws Exception {
        listen(LIMITS, held::add);
        AtomicInteger notifications = new AtomicInteger();
        try (RawCaller caller = new RawCaller(listener.address())) {
            caller.send(GET.formatted("1"));
            await(() -> held.size() == 1);
            HttpExchange exchange = held.poll();
            exchange.onClosed(notifications::incrementAndGet);
            exchange.start("text/event-stream", Map.of());
            String chunk = "a".repeat(1024);
            long most = 0;
            int chunks = 0;
            while (chunks < 1_000_000 && exchange.write(chunk)) {
                most = Math.max(most, exchange.pendingBytes());
                chunks++;
            }
            assertThat(chunks).isLessThan(1_000_000);
            assertThat(most).isLessThanOrEqualTo(LIMITS.maxPendingBytes());
            await(() -> notifications.get() == 1);
            assertThat(caller.readToEnd()).doesNotContain("0\r\n\r\n");
        }
        assertThat(listener.counters().slowReaders()).isEqualTo(1);
        assertThat(notifications).hasValue(1);
    }

    /** A response that isn't read must not hold its connection longer than the write timeout. */
    @Test
    void connectionWithUnreadResponseIsClosed() throws Exception {
        byte[] large = new byte[32 << 20];
        listen(
                new HttpLimits(256, 1024, 64, 100, LONG, LONG, LONG, SHORT, 1024),
                e -> e.respond(200, "a/b", Map.of(), large));
        try (RawCaller caller = new RawCaller(listener.address())) {
            caller.send(GET.formatted("1"));
            await(() -> listener.counters().slowReaders() == 1);
            await(() -> listener.counters().inProgress() == 0);
        }
    }

    /**
     * A graceful stop while a response is pending and another connection is idle. The idle connection is closed, new
     * ones are refused, the pending response arrives complete with Connection: close, and only then is the drain
     * done.
     */
    @Test
    void stopCompletesPendingResponses() throws Exception {
        listen(LIMITS, exchange -> {
            if (exchange.path().endsWith("slow")) {
                held.add(exchange);
            } else {
                echo(exchange);
            }
        });
        CountDownLatch drained = new CountDownLatch(1);
        try (RawCaller busy = new RawCaller(listener.address());
                RawCaller idle = new RawCaller(listener.address())) {
            idle.send(GET.formatted("1")).readUntil("GET /echo/1 ");
            busy.send(GET.formatted("slow"));
            await(() -> held.size() == 1);

            listener.announceStop();
            listener.stopAccepting();
            listener.drain(LONG, drained::countDown);

            assertThat(idle.readToEnd()).isEmpty();
            await(() -> {
                try {
                    new RawCaller(listener.address()).close();
                    return false;
                } catch (ConnectException e) {
                    return true;
                } catch (IOException e) {
                    return false;
                }
            });
            assertThat(drained.getCount()).isEqualTo(1);
            echo(held.poll());
            assertThat(drained.await(20, TimeUnit.SECONDS)).isTrue();
            // The process ends here: all responses must have been sent already.
            listener.close();
            assertThat(busy.readToEnd()).contains("connection: close").endsWith("GET /echo/slow ");
        }
    }

    /**
     * 400 callers send damaged requests (seed 3), and some disconnect in the middle. None may block the listener or
     * leave an open connection or exchange behind, and a valid caller must be served in between.
     */
    @Test
    void damagedRequestsDoNotAffectOtherCallers() throws Exception {
        Queue<RuntimeException> failures = new ConcurrentLinkedQueue<>();
        listen(LIMITS, exchange -> {
            try {
                echo(exchange);
            } catch (RuntimeException e) {
                failures.add(e);
                throw e;
            }
        });
        Random random = new Random(3);
        try (RawCaller good = new RawCaller(listener.address())) {
            for (int i = 0; i < 400; i++) {
                byte[] bytes = (POST + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + GET.formatted(i))
                        .getBytes(StandardCharsets.ISO_8859_1);
                for (int damage = random.nextInt(6); damage >= 0; damage--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
                try (RawCaller bad = new RawCaller(listener.address())) {
                    bad.send(java.util.Arrays.copyOf(bytes, 1 + random.nextInt(bytes.length)));
                } catch (SocketException e) {
                    // closed by the listener already
                }
                good.send(GET.formatted("good" + i)).readUntil("GET /echo/good" + i + " ");
            }
        }
        await(() ->
                listener.counters().connections() == 0 && listener.counters().inProgress() == 0);
        assertThat(listener.counters().refusedRequests()).isPositive();
        // Checked first because the count below doesn't show which failure it was.
        assertThat(failures).isEmpty();
        assertThat(listener.counters().handlerFailures()).isZero();
    }

    @Test
    void closedListenerRefusesConnections() {
        listen(LIMITS, HttpListenerTest::echo);
        InetSocketAddress address = listener.address();
        listener.close();
        assertThatThrownBy(() -> new RawCaller(address)).isInstanceOf(IOException.class);
    }

    private static Arguments refusal(String name, String bytes) {
        return Arguments.of(name, bytes, 400, "malformed-request");
    }

    private void listen(HttpLimits limits, HttpRequestHandler handler) {
        listener = new HttpListener(new InetSocketAddress("127.0.0.1", 0), 2, limits, handler);
    }

    private static void echo(HttpExchange exchange) {
        String body = new String(exchange.body(), StandardCharsets.UTF_8);
        String text = exchange.method() + " " + exchange.path() + " " + body;
        exchange.respond(200, "text/plain", Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("waited for too long").isLessThan(end);
            Thread.onSpinWait();
        }
    }
}
