package org.copperspindle.agent;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.copperspindle.emulator.EndlessPlace;
import org.copperspindle.emulator.EndlessResponse;
import org.copperspindle.emulator.ScriptedUpstream;
import org.copperspindle.wire.NumericAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests responses of upstreams over real sockets: only a response that is provably whole and belongs to the call is
 * accepted.
 */
class UpstreamClientTest {

    private static final String WHOLE = SocketUpstream.response("one");

    /**
     * The upstream runs the call and then breaks its response, each time in another way. A partial response must never
     * be returned, and the failure must not be reported as a call that was not sent.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "truncated body            | HTTP/1.1 200 OK~Content-Length: 9~~half",
                "nothing at all            | ''",
                "half a head               | HTTP/1.1 200 OK~Content-Le",
                "stream without its end    | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~half~",
                "half a chunk              | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~9~half",
                "no declared end           | HTTP/1.1 200 OK~~half",
                "not HTTP                  | garbage~~",
                "no status                 | HTTP/1.1 000 OK~Content-Length: 4~~half",
                "blank in a name           | HTTP/1.1 200 OK~Content-Length of: 4~~half",
                "blank after a name        | HTTP/1.1 200 OK~Content-Length : 4~~half",
                "two lengths               | HTTP/1.1 200 OK~Content-Length: 4~Content-Length: 9~~half",
                "chunk of no size          | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~zz~half~0~~",
                "another request's answer  | HTTP/1.1 200 OK~X-Request-Id: other~Content-Length: 4~~half",
                "only a provisional answer | HTTP/1.1 100 Continue~~",
                "larger than allowed       | HTTP/1.1 200 OK~Content-Length: 17~~seventeen letters"
            })
    void brokenResponseIsNotReturned(String fault, String bytes) throws Exception {
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> {
                    SocketUpstream.send(socket, bytes.replace("~", "\r\n"));
                    socket.close();
                });
                UpstreamClient client = new UpstreamClient(upstream.address(), 4)) {
            assertThat(call(client, "a", false)).as(fault).startsWith("lost sent=true");
            assertThat(upstream.ledger().count("a")).isEqualTo(1);
        }
    }

    /** Guards against a result with an empty body whose upstream stopped inside the head, at whichever byte. */
    @ParameterizedTest
    @CsvSource({"Content-Length: 3", "Transfer-Encoding: chunked", "Content-Type: text/plain"})
    void headThatStopsIsNoResponse(String framing) throws Exception {
        String head = "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n";
        AtomicInteger length = new AtomicInteger();
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> {
                    SocketUpstream.send(socket, head.substring(0, length.get()));
                    socket.close();
                });
                UpstreamClient client = new UpstreamClient(upstream.address(), 4)) {
            for (; length.get() < head.length(); length.incrementAndGet()) {
                assertThat(call(client, "a" + length, false))
                        .as("%s bytes", length)
                        .startsWith("lost sent=true");
            }
        }
    }

    /** Guards against a call that lasts as long as its upstream sends, and against its connection staying open. */
    @ParameterizedTest
    @EnumSource(
            value = EndlessPlace.class,
            names = {
                "STATUS_LINE",
                "HEADER_FIELDS",
                "INTERIM",
                "SWITCHED_PROTOCOL",
                "CHUNK_EXTENSIONS",
                "TRAILER_FIELDS"
            })
    void responseWithoutEndFailsTheCall(EndlessPlace place) throws Exception {
        EndlessResponse endless = new EndlessResponse(place, "text/plain", 0);
        try (ScriptedUpstream upstream = new ScriptedUpstream(endless);
                UpstreamClient client = new UpstreamClient(NumericAddress.parse(upstream.address()), 4)) {
            assertThat(call(client, "a", false)).startsWith("lost sent=true");
            assertThat(endless.ledger()).hasSize(1);
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (!endless.ledger().get(0).isClosed()) {
                assertThat(System.nanoTime()).isLessThan(deadline);
                Thread.onSpinWait();
            }
        }
    }

    /** A call on a new connection is never sent twice, not even a repeatable one: the entry decides on repeats. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void callIsNotResentAfterAReset(boolean repeatable) throws Exception {
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> SocketUpstream.reset(socket));
                UpstreamClient client = new UpstreamClient(upstream.address(), 4)) {
            assertThat(call(client, "a", repeatable)).startsWith("lost sent=true");
            // One network thread connects in order and the upstream accepts in order: if the first call were resent,
            // its second connection would be accepted here before that of the second call, even if not read yet.
            assertThat(call(client, "b", repeatable)).startsWith("lost sent=true");
            assertThat(upstream.accepted()).isEqualTo(2);
            assertThat(upstream.ledger().count("a")).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 OK~Content-Length: 3~~one",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~o~2~ne~0~~",
                "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Content-Length: 3~~one"
            })
    void wholeResponseIsReturned(String bytes) throws Exception {
        try (SocketUpstream upstream = new SocketUpstream(
                        (socket, request, call) -> SocketUpstream.send(socket, bytes.replace("~", "\r\n")));
                UpstreamClient client = new UpstreamClient(upstream.address(), 4)) {
            assertThat(call(client, "a", false)).isEqualTo("one");
        }
    }

    /**
     * The upstream sends its first response twice on a kept connection. The second copy must not become the response to
     * the next call, which is another caller's.
     */
    @Test
    void duplicateResponseIsNotTakenForTheNextCall() throws Exception {
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> {
                    String own = SocketUpstream.response(request.get("idempotency-key"));
                    SocketUpstream.send(socket, request.get("idempotency-key").equals("a") ? own + own : own);
                });
                UpstreamClient client = new UpstreamClient(upstream.address(), 4)) {
            assertThat(call(client, "a", true)).isEqualTo("a");
            assertThat(call(client, "b", true)).isEqualTo("b");
            assertThat(upstream.connections()).isEqualTo(2);
        }
    }

    @Test
    void repeatableCallsShareAConnectionAndOthersDoNot() throws Exception {
        try (SocketUpstream upstream =
                        new SocketUpstream((socket, request, call) -> SocketUpstream.send(socket, WHOLE));
                UpstreamClient client = new UpstreamClient(upstream.address(), 4)) {
            call(client, "a", true);
            call(client, "b", true);
            assertThat(upstream.connections()).isEqualTo(1);
            call(client, "install", false);
            assertThat(upstream.connections()).isEqualTo(2);
        }
    }

    /**
     * The upstream closes a kept connection just as the next call is written to it. A repeatable call is sent again on
     * a new connection; an unrepeatable one never uses a kept connection, so it runs once.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void callSurvivesAKeptConnectionThatCloses(boolean repeatable) throws Exception {
        try (SocketUpstream upstream = new SocketUpstream((socket, request, call) -> {
                    if (call > 0) {
                        SocketUpstream.reset(socket);
                    } else {
                        SocketUpstream.send(socket, WHOLE);
                    }
                });
                UpstreamClient client = new UpstreamClient(upstream.address(), 4)) {
            call(client, "a", true);
            assertThat(call(client, "b", repeatable)).isEqualTo("one");
            assertThat(upstream.ledger().count("b")).isEqualTo(repeatable ? 2 : 1);
        }
    }

    @Test
    void unreachableUpstreamDidNotRunAnything() throws Exception {
        SocketUpstream gone = new SocketUpstream((socket, request, call) -> {});
        gone.close();
        try (UpstreamClient client = new UpstreamClient(gone.address(), 4)) {
            assertThat(call(client, "a", false)).isEqualTo("lost sent=false connect-failed");
        }
    }

    private static String call(UpstreamClient client, String id, boolean repeatable) throws InterruptedException {
        RecordingListener listener = new RecordingListener();
        client.call(new UpstreamCall("/", new byte[] {'{', '}'}, "r-" + id, id, repeatable, 16), listener);
        return listener.ends.poll(20, TimeUnit.SECONDS);
    }

    /** Records how the call ended. */
    private static final class RecordingListener implements UpstreamResponseListener {
        private final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
        private final StringBuffer body = new StringBuffer();

        @Override
        public void onHead(UpstreamHead head) {
            // only the end counts
        }

        @Override
        public void onData(byte[] data) {
            body.append(new String(data));
        }

        @Override
        public boolean acceptsMore() {
            return true;
        }

        @Override
        public void onEnd() {
            ends.add(body.toString());
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            ends.add("lost sent=" + sent + " " + reason);
        }
    }
}
