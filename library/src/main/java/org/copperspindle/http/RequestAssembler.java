package org.copperspindle.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * Assembles the requests of one connection from the parts that Netty decodes, and validates them. No more parts may
 * be passed after one was refused.
 */
final class RequestAssembler {

    /** Delay of a retry after a request was refused for memory: stalled requests and unread responses give way by then. */
    private static final Duration MEMORY_RETRY_AFTER = Duration.ofSeconds(1);

    private static final int UNAVAILABLE = 503;

    private final int maxBodyBytes;
    private final ArrivingRequest arriving;
    private Optional<HttpRequest> head = Optional.empty();
    private BodyBuffer body;
    private boolean continueExpected;

    RequestAssembler(int maxBodyBytes, ArrivingRequest arriving) {
        this.maxBodyBytes = maxBodyBytes;
        this.arriving = arriving;
        this.body = new BodyBuffer(maxBodyBytes);
    }

    /**
     * Accepts the next part.
     *
     * @param part part decoded by Netty, whose content is consumed; not released here
     * @return the request once it is complete or refused
     */
    Optional<ReceivedRequest> accept(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            return refused(problem(part.decoderResult().cause()));
        }
        if (part instanceof HttpRequest request) {
            Optional<ProblemDetails> problem = validate(request);
            if (problem.isPresent()) {
                return refused(problem.get());
            }
            int length = (int) HttpUtil.getContentLength(request, 0L);
            if (!arriving.reserveBody(length)) {
                return refused(memoryShort());
            }
            head = Optional.of(request);
            body.allocate(length);
            // Callers of HTTP/1.0 don't know interim responses: their expectations are ignored (RFC 9110, 10.1.1).
            continueExpected = !isHttp10(request) && request.headers().contains(HttpHeaderNames.EXPECT);
        }
        return part instanceof HttpContent content ? append(content) : Optional.empty();
    }

    /**
     * Returns, once for each request, whether the caller waits for {@code 100 Continue} before it sends the body.
     *
     * @return true if {@code 100 Continue} must be sent now
     */
    boolean pollContinueExpected() {
        boolean expected = continueExpected;
        continueExpected = false;
        return expected;
    }

    /** Drops a partly received request and releases its memory; no more parts may be passed. */
    void discard() {
        arriving.discard();
        head = Optional.empty();
        body = new BodyBuffer(0);
    }

    /**
     * Returns whether no request has been partly received.
     *
     * @return true between requests
     */
    boolean isIdle() {
        return head.isEmpty();
    }

    /**
     * Returns the problem for bytes that are not a valid request.
     *
     * @param cause the decoder's exception
     * @return the problem
     */
    static ProblemDetails problem(Throwable cause) {
        if (cause instanceof MemoryShortException) {
            return memoryShort();
        }
        if (cause instanceof TooLongHttpLineException) {
            return ProblemDetails.notRun("request-line-too-long", 414, "the request line is too long");
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return ProblemDetails.notRun("header-too-large", 431, "the header fields are too large");
        }
        return ProblemDetails.notRun("malformed-request", 400, "the bytes are not one unambiguous HTTP request");
    }

    private Optional<ReceivedRequest> append(HttpContent content) {
        // A caller that sends the body without waiting for 100 Continue needs none.
        continueExpected &= !content.content().isReadable();
        int bytes = content.content().readableBytes();
        if (bytes > maxBodyBytes - body.size()) {
            return refused(tooLarge());
        }
        if (!arriving.reserveBody(body.capacityFor(bytes))) {
            return refused(memoryShort());
        }
        body.append(content.content());
        if (!(content instanceof LastHttpContent)) {
            return Optional.empty();
        }
        // An interim response can't follow the final one.
        continueExpected = false;
        byte[] wholeBody = body.take();
        arriving.reserveBody(wholeBody.length);
        ReceivedRequest whole = new ReceivedRequest.Whole(head.orElseThrow(), wholeBody, arriving.complete());
        head = Optional.empty();
        return Optional.of(whole);
    }

    private Optional<ProblemDetails> validate(HttpRequest request) {
        boolean http10 = isHttp10(request);
        if (!http10 && !request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return Optional.of(ProblemDetails.notRun("http-version", 505, "only versions 1.1 and 1.0 are spoken"));
        }
        if (!hasValidFraming(request, http10) || !hasValidTarget(request, http10)) {
            return Optional.of(problem(new IllegalArgumentException()));
        }
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
            return Optional.of(tooLarge());
        }
        List<String> expect = request.headers().getAll(HttpHeaderNames.EXPECT);
        if (!expect.isEmpty()
                && !(expect.size() == 1 && HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expect.get(0)))) {
            return Optional.of(ProblemDetails.notRun("expectation", 417, "only 100-continue can be expected"));
        }
        return Optional.empty();
    }

    private static boolean isHttp10(HttpRequest request) {
        return request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }

    private static boolean hasValidFraming(HttpRequest request, boolean http10) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1;
        }
        // Servers differ in how they read any other coding, or any coding in HTTP/1.0, which allows request
        // smuggling.
        return !http10
                && codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private static boolean hasValidTarget(HttpRequest request, boolean http10) {
        int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
        if (hosts > 1 || hosts == 0 && !http10) {
            return false;
        }
        return RequestTarget.parse(request.uri()).isPresent();
    }

    /** Returns the problem for a request for which there is no memory. */
    static ProblemDetails memoryShort() {
        return new ProblemDetails(
                UNAVAILABLE,
                "there is no memory for the request now",
                new NotRunVerdict("memory-short"),
                "",
                Optional.of(MEMORY_RETRY_AFTER));
    }

    private ProblemDetails tooLarge() {
        return ProblemDetails.notRun("body-too-large", 413, "the body exceeds " + maxBodyBytes + " bytes");
    }

    private static Optional<ReceivedRequest> refused(ProblemDetails problem) {
        return Optional.of(new ReceivedRequest.Refused(problem));
    }
}
