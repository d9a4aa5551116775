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
import org.copperspindle.memory.HeldKind;
import org.copperspindle.memory.MemoryHolder;

/**
 * An HTTP request and its response. The response may be sent from any thread, and only once: whatever is sent after
 * the response or the connection has ended is dropped and counted.
 */
public final class HttpExchange {

    private static final Runnable NO_LISTENER = () -> {};
    private static final Runnable NOTIFIED = () -> {};

    /** Part of a complete response that is written at once; each one that is read shows that the caller reads. */
    private static final int SLICE_BYTES = 16 << 10;

    /** Memory of one chunk that waits, beside its bytes: buffers and framing, and their places in the connection's queue. */
    private static final int CHUNK_BYTES = 800;

    private final HttpConnectionHandler connection;
    private final String method;
    private final String uri;
    private final RequestTarget target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean http10;
    private final boolean keepAlive;
    private final AtomicReference<ResponseState> state = new AtomicReference<>(ResponseState.AWAITED);
    private final AtomicReference<Runnable> closeListener = new AtomicReference<>(NO_LISTENER);
    private final AtomicLong pendingBytes = new AtomicLong();
    private final MemoryHolder memoryHolder;
    private volatile Runnable writabilityListener = NO_LISTENER;
    private volatile Runnable shedListener = NO_LISTENER;
    private volatile boolean shed;
    private volatile boolean closeAnnounced;

    HttpExchange(
            HttpConnectionHandler connection,
            HttpRequest head,
            RequestTarget target,
            byte[] body,
            MemoryHolder memoryHolder) {
        this.connection = connection;
        this.method = head.method().name();
        this.uri = head.uri();
        this.target = target;
        this.headers = head.headers();
        this.body = body;
        this.http10 = head.protocolVersion().equals(HttpVersion.HTTP_1_0);
        // HTTP/1.0 has no chunked encoding and no standard for persistent connections: the connection closes after
        // one response.
        this.keepAlive = !http10 && HttpUtil.isKeepAlive(head);
        this.memoryHolder = memoryHolder;
        memoryHolder.endArrival();
        memoryHolder.onBreakOff(this::breakOff);
    }

    /**
     * Returns the request method.
     *
     * @return for example {@code POST}
     */
    public String method() {
        return method;
    }

    /**
     * Returns the target as sent in the request line.
     *
     * @return path and query, not decoded
     */
    public String uri() {
        return uri;
    }

    /**
     * Returns all header fields.
     *
     * @return in the order received
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
     * Returns a query parameter.
     *
     * @param name its name
     * @return its first value
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(target.parameters().get(name)).map(values -> values.get(0));
    }

    /**
     * Returns a header field.
     *
     * @param name its name, in any case
     * @return its first value
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns a header field that holds a list. Several fields of a name are one list, in their order.
     *
     * @param name its name, in any case
     * @return the values of all fields with that name, separated by commas; empty if there is none
     */
    public String headerList(String name) {
        return String.join(",", headers.getAll(name));
    }

    /**
     * Returns how often a header field was sent.
     *
     * @param name its name, in any case
     * @return number of header lines with that name
     */
    public int headerCount(String name) {
        return headers.getAll(name).size();
    }

    /**
     * Returns the request body.
     *
     * @return its bytes
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns whether the response may be sent in chunks, which lets the caller tell the end of the response from a
     * broken connection.
     *
     * @return false for HTTP/1.0
     */
    public boolean supportsChunkedResponse() {
        return !http10;
    }

    /**
     * Registers a task that runs once if the connection closes before the response is complete; it runs immediately
     * if the connection has closed already.
     *
     * @param task the task; normally run on a network thread
     */
    public void onClosed(Runnable task) {
        if (!closeListener.compareAndSet(NO_LISTENER, task)) {
            task.run();
        }
    }

    /**
     * Returns whether more of the response can be written without buffering too much.
     *
     * @return false if a sender of chunks should stop writing for now
     */
    public boolean isWritable() {
        return state.get().open && connection.isWritable();
    }

    /**
     * Registers a task that runs whenever {@link #isWritable} may have changed. It replaces an earlier one.
     *
     * @param task the task; runs on the connection's network thread
     */
    public void onWritabilityChanged(Runnable task) {
        writabilityListener = task;
    }

    /**
     * Registers a task that runs at once when the response is broken off because memory is short, before the connection is
     * closed. It replaces an earlier one. It frees memory and must not send anything.
     *
     * @param task the task; runs on the thread that reserves memory
     */
    public void onShed(Runnable task) {
        shedListener = task;
    }

    /**
     * Returns the holder of the memory of this request and its response. It is closed once the response is written or
     * the connection has closed.
     *
     * @return the holder
     */
    public MemoryHolder memoryHolder() {
        return memoryHolder;
    }

    /**
     * Returns whether the response was broken off because memory was short.
     *
     * @return true if the caller can't get the whole response
     */
    public boolean wasShed() {
        return shed;
    }

    /**
     * Returns how many bytes of the response wait to be sent to the caller.
     *
     * @return bytes
     */
    public long pendingBytes() {
        return pendingBytes.get();
    }

    /**
     * Returns the connection's network thread as a scheduler.
     *
     * @return scheduler for tasks that don't block
     */
    public ScheduledExecutorService scheduler() {
        return connection.scheduler();
    }

    /**
     * Sends a complete response.
     *
     * @param status      HTTP status
     * @param contentType content type
     * @param fields      further header fields
     * @param content     body
     */
    public void respond(int status, String contentType, Map<String, String> fields, byte[] content) {
        if (!transition(ResponseState.AWAITED, ResponseState.ENDED)) {
            return;
        }
        sendComplete(head(status, contentType, fields), content);
    }

    /**
     * Sends a complete response with the header fields of another response, for example an upstream's.
     *
     * @param status  HTTP status
     * @param fields  header fields, without those for the connection and message framing
     * @param content the body
     */
    public void respond(int status, List<HeaderField> fields, byte[] content) {
        if (!transition(ResponseState.AWAITED, ResponseState.ENDED)) {
            return;
        }
        sendComplete(head(status, fields), content);
    }

    /**
     * Sends a problem as the complete response.
     *
     * @param problem the problem
     */
    public void respond(ProblemDetails problem) {
        respond(problem.status(), ProblemDetails.CONTENT_TYPE, problem.fields(), problem.body());
    }

    /**
     * Starts a chunked response.
     *
     * @param contentType content type
     * @param fields      further header fields
     */
    public void start(String contentType, Map<String, String> fields) {
        if (!transition(ResponseState.AWAITED, ResponseState.STARTED)) {
            return;
        }
        HttpResponse head = head(HttpResponseStatus.OK.code(), contentType, fields);
        head.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        startChunked(head);
    }

    /**
     * Starts a chunked response with the header fields of another response, for example an upstream's.
     *
     * @param status HTTP status
     * @param fields header fields, without those for the connection and message framing
     */
    public void start(int status, List<HeaderField> fields) {
        if (!transition(ResponseState.AWAITED, ResponseState.STARTED)) {
            return;
        }
        startChunked(head(status, fields));
    }

    /**
     * Sends a chunk of a started response. If too many bytes wait for the caller, the connection is closed without
     * the end of the response instead, so that the chunks can't fill this process's memory.
     *
     * @param text the chunk
     * @return false if the response has ended or was aborted by this call
     */
    public boolean write(String text) {
        return write(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a chunk of a started response; see {@link #write(String)}.
     *
     * @param bytes the chunk; must not be modified afterwards
     * @return false if the response has ended or was aborted by this call
     */
    public boolean write(byte[] bytes) {
        if (state.get() != ResponseState.STARTED) {
            connection.counters().lateResponse();
            return false;
        }
        if (pendingBytes.addAndGet(bytes.length) > connection.limits().maxPendingBytes()) {
            connection.counters().slowReader();
            abortResponse();
            return false;
        }
        connection.memory().reserve(memoryHolder, HeldKind.UNSENT_RESPONSE, CHUNK_BYTES + bytes.length);
        if (state.get() != ResponseState.STARTED) {
            // The reservation has made memory short, and this response was broken off for it.
            return false;
        }
        connection
                .writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(done -> onWritten(bytes.length));
        return true;
    }

    /** Completes a started response. */
    public void finish() {
        if (transition(ResponseState.STARTED, ResponseState.ENDED)) {
            connection.complete(this, closeAnnounced || connection.closesAfterResponse());
        }
    }

    /**
     * Aborts a started response: the connection closes without the terminating chunk, so that the caller sees the
     * response as incomplete.
     */
    public void abortResponse() {
        if (state.compareAndSet(ResponseState.STARTED, ResponseState.BROKEN)) {
            connection.abort("answer-broken");
        }
    }

    private void onWritten(int bytes) {
        pendingBytes.addAndGet(-bytes);
        connection.memory().release(memoryHolder, HeldKind.UNSENT_RESPONSE, CHUNK_BYTES + bytes);
        connection.memory().recordRead(memoryHolder);
    }

    /** Closes the connection before the response is complete, in whatever state it is. */
    private void breakOff() {
        shed = true;
        state.updateAndGet(s -> s.open ? ResponseState.BROKEN : s);
        shedListener.run();
        connection.closeNow();
    }

    private void sendComplete(HttpResponse head, byte[] content) {
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        boolean close = markConnectionClose(head);
        connection.write(head);
        if (content.length > 0 && !method.equals(HttpMethod.HEAD.name())) {
            writeSlices(content);
        }
        connection.complete(this, close);
    }

    /** Writes the body of a complete response. Its array is held as a whole until the last slice is written. */
    private void writeSlices(byte[] content) {
        connection.memory().reserve(memoryHolder, HeldKind.UNSENT_RESPONSE, content.length);
        for (int start = 0; start < content.length; start += SLICE_BYTES) {
            int length = Math.min(SLICE_BYTES, content.length - start);
            connection
                    .write(new DefaultHttpContent(Unpooled.wrappedBuffer(content, start, length)))
                    .addListener(done -> connection.memory().recordRead(memoryHolder));
        }
    }

    private void startChunked(HttpResponse head) {
        memoryHolder.responseStarted();
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        markConnectionClose(head);
        connection.write(head);
    }

    void writabilityChanged() {
        writabilityListener.run();
    }

    /** Marks the response as dropped because the connection has closed. */
    void connectionClosed() {
        ResponseState before = state.getAndUpdate(s -> s.open ? ResponseState.DROPPED : s);
        if (before.open) {
            closeListener.getAndSet(NOTIFIED).run();
        }
    }

    private boolean transition(ResponseState from, ResponseState to) {
        if (state.compareAndSet(from, to)) {
            return true;
        }
        connection.counters().lateResponse();
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

    private boolean markConnectionClose(HttpResponse head) {
        closeAnnounced = !keepAlive || connection.closesAfterResponse();
        if (closeAnnounced) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return closeAnnounced;
    }

    /** State of the response. */
    private enum ResponseState {
        /** Nothing has been sent. */
        AWAITED(true),
        /** The head has been sent; chunks follow. */
        STARTED(true),
        /** Aborted: nothing more is sent, and the connection is being closed without the terminating chunk. */
        BROKEN(true),
        /** The complete response has been passed to the connection. */
        ENDED(false),
        /** The connection closed before the response was complete. */
        DROPPED(false);

        private final boolean open;

        ResponseState(boolean open) {
            this.open = open;
        }
    }
}
