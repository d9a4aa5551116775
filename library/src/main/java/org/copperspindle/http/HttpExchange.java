package org.copperspindle.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One request and its answer. Answering is possible from any thread. An exchange is answered once at most: whatever
 * comes after its answer, or after its connection, is dropped and counted.
 */
public final class HttpExchange {

    private static final Runnable NOBODY = () -> {};
    private static final Runnable TOLD = () -> {};

    private final HttpConnectionHandler connection;
    private final String method;
    private final String uri;
    private final RequestTarget target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean old;
    private final boolean keepAlive;
    private final AtomicReference<AnswerState> state = new AtomicReference<>(AnswerState.AWAITED);
    private final AtomicReference<Runnable> closed = new AtomicReference<>(NOBODY);
    private final AtomicLong pendingBytes = new AtomicLong();

    HttpExchange(HttpConnectionHandler connection, HttpRequest head, RequestTarget target, byte[] body) {
        this.connection = connection;
        this.method = head.method().name();
        this.uri = head.uri();
        this.target = target;
        this.headers = head.headers();
        this.body = body;
        this.old = head.protocolVersion().equals(HttpVersion.HTTP_1_0);
        // HTTP/1.0 has no chunks, and its persistence was never agreed on: one answer for each connection.
        this.keepAlive = !old && HttpUtil.isKeepAlive(head);
    }

    /**
     * Returns the method.
     *
     * @return for example {@code POST}
     */
    public String method() {
        return method;
    }

    /**
     * Returns the target as it stood in the request line.
     *
     * @return path and query, not decoded
     */
    public String uri() {
        return uri;
    }

    /**
     * Returns all header fields.
     *
     * @return in the order in which they came
     */
    public List<HeaderField> fields() {
        return headers.entries().stream()
                .map(e -> new HeaderField(e.getKey(), e.getValue()))
                .toList();
    }

    /**
     * Returns the path without the query.
     *
     * @return the decoded path
     */
    public String path() {
        return target.path();
    }

    /**
     * Finds a query parameter.
     *
     * @param name its name
     * @return its first value
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(target.parameters().get(name)).map(values -> values.get(0));
    }

    /**
     * Finds a header field.
     *
     * @param name its name, in any case
     * @return its first value
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Says how often a header field was sent.
     *
     * @param name its name, in any case
     * @return number of lines
     */
    public int headerCount(String name) {
        return headers.getAll(name).size();
    }

    /**
     * Returns the whole body.
     *
     * @return its bytes
     */
    public byte[] body() {
        return body;
    }

    /**
     * Says whether the answer may be sent in pieces, whose end the caller can tell from a cut connection.
     *
     * @return false for HTTP/1.0
     */
    public boolean supportsPieces() {
        return !old;
    }

    /**
     * Asks to be told, once, when the connection ends before the answer does; at once if it has.
     *
     * @param task run on a network thread
     */
    public void onClosed(Runnable task) {
        if (!closed.compareAndSet(NOBODY, task)) {
            task.run();
        }
    }

    /**
     * Says whether what was written has mostly left.
     *
     * @return false if a sender of pieces should hold back
     */
    public boolean isWritable() {
        return state.get().open && connection.isWritable();
    }

    /**
     * Returns how much of the answer waits for the caller to read.
     *
     * @return bytes
     */
    public long pendingBytes() {
        return pendingBytes.get();
    }

    /**
     * Returns the connection's network thread as a scheduler.
     *
     * @return for tasks that must not block it
     */
    public ScheduledExecutorService scheduler() {
        return connection.scheduler();
    }

    /**
     * Sends a whole answer.
     *
     * @param status      HTTP status
     * @param contentType content type
     * @param fields      further header fields
     * @param answer      body
     */
    public void respond(int status, String contentType, Map<String, String> fields, byte[] answer) {
        if (!advance(AnswerState.AWAITED, AnswerState.ENDED)) {
            return;
        }
        sendWhole(head(status, contentType, fields), answer);
    }

    /**
     * Sends the whole answer with the header fields of another answer, for example an upstream's.
     *
     * @param status HTTP status
     * @param fields header fields but those of this connection and its framing
     * @param answer the body
     */
    public void respond(int status, List<HeaderField> fields, byte[] answer) {
        if (!advance(AnswerState.AWAITED, AnswerState.ENDED)) {
            return;
        }
        sendWhole(head(status, fields), answer);
    }

    /**
     * Sends a problem.
     *
     * @param problem the whole answer
     */
    public void respond(ProblemDetails problem) {
        respond(problem.status(), ProblemDetails.CONTENT_TYPE, problem.fields(), problem.body());
    }

    /**
     * Starts an answer in pieces.
     *
     * @param contentType content type
     * @param fields      further header fields
     */
    public void start(String contentType, Map<String, String> fields) {
        if (!advance(AnswerState.AWAITED, AnswerState.STARTED)) {
            return;
        }
        HttpResponse head = head(HttpResponseStatus.OK.code(), contentType, fields);
        head.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        startPieces(head);
    }

    /**
     * Starts an answer in pieces with the header fields of another answer, for example an upstream's.
     *
     * @param status HTTP status
     * @param fields header fields but those of this connection and its framing
     */
    public void start(int status, List<HeaderField> fields) {
        if (!advance(AnswerState.AWAITED, AnswerState.STARTED)) {
            return;
        }
        startPieces(head(status, fields));
    }

    /**
     * Sends a piece of a started answer. If the caller has left too much unread, the connection is closed instead, as
     * broken: the pieces must not fill this process's memory.
     *
     * @param text the piece
     * @return false if the answer has ended or is ended by this
     */
    public boolean write(String text) {
        return write(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a piece of a started answer; see {@link #write(String)}.
     *
     * @param bytes the piece, not changed afterwards
     * @return false if the answer has ended or is ended by this
     */
    public boolean write(byte[] bytes) {
        if (state.get() != AnswerState.STARTED) {
            connection.counters().lateAnswer();
            return false;
        }
        if (pendingBytes.addAndGet(bytes.length) > connection.limits().maxPendingBytes()) {
            connection.counters().slowReader();
            breakOff();
            return false;
        }
        connection
                .writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(done -> pendingBytes.addAndGet(-bytes.length));
        return true;
    }

    /** Ends a started answer. */
    public void finish() {
        if (advance(AnswerState.STARTED, AnswerState.ENDED)) {
            connection.end(this, !keepAlive || connection.isStopping());
        }
    }

    /** Ends a started answer as broken: the connection closes without the end mark. */
    public void breakOff() {
        if (state.compareAndSet(AnswerState.STARTED, AnswerState.BROKEN)) {
            connection.abandon("answer-broken");
        }
    }

    private void sendWhole(HttpResponse head, byte[] answer) {
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.length);
        boolean close = closesAfter(head);
        connection.write(head);
        if (answer.length > 0 && !method.equals(HttpMethod.HEAD.name())) {
            connection.write(new DefaultHttpContent(Unpooled.wrappedBuffer(answer)));
        }
        connection.end(this, close);
    }

    private void startPieces(HttpResponse head) {
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        closesAfter(head);
        connection.write(head);
    }

    /** The connection ended. */
    void connectionClosed() {
        AnswerState before = state.getAndUpdate(s -> s.open ? AnswerState.DROPPED : s);
        if (before.open) {
            closed.getAndSet(TOLD).run();
        }
    }

    private boolean advance(AnswerState from, AnswerState to) {
        if (state.compareAndSet(from, to)) {
            return true;
        }
        connection.counters().lateAnswer();
        return false;
    }

    private static HttpResponse head(int status, String contentType, Map<String, String> fields) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        fields.forEach((name, value) -> head.headers().set(name, value));
        return head;
    }

    private static HttpResponse head(int status, List<HeaderField> fields) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        fields.forEach(field -> head.headers().add(field.name(), field.value()));
        return head;
    }

    private boolean closesAfter(HttpResponse head) {
        boolean close = !keepAlive || connection.isStopping();
        if (close) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return close;
    }

    /** How far the answer has come. */
    private enum AnswerState {
        /** Nothing was sent. */
        AWAITED(true),
        /** The head was sent, pieces follow. */
        STARTED(true),
        /** No more is sent, and the connection is being closed without the end mark. */
        BROKEN(true),
        /** All was handed to the connection. */
        ENDED(false),
        /** The connection ended first. */
        DROPPED(false);

        private final boolean open;

        AnswerState(boolean open) {
            this.open = open;
        }
    }
}
