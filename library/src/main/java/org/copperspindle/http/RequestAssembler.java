package org.copperspindle.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
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

/**
 * Puts the parts of one connection's requests together and judges their form. The connection must not offer more parts
 * once one was refused.
 */
final class RequestAssembler {

    private final int maxBodyBytes;
    private Optional<HttpRequest> head = Optional.empty();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private boolean awaitsContinue;

    RequestAssembler(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Takes the next part.
     *
     * @param part decoded by Netty; not released here
     * @return the request once it is whole or refused
     */
    Optional<ReceivedRequest> accept(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            return refused(problem(part.decoderResult().cause()));
        }
        if (part instanceof HttpRequest request) {
            Optional<ProblemDetails> problem = judge(request);
            if (problem.isPresent()) {
                return refused(problem.get());
            }
            head = Optional.of(request);
            body = new ByteArrayOutputStream((int) HttpUtil.getContentLength(request, 0L));
            awaitsContinue = request.headers().contains(HttpHeaderNames.EXPECT);
        }
        return part instanceof HttpContent content ? append(content) : Optional.empty();
    }

    /**
     * Says, once for each request, whether the caller waits to be told to send the body.
     *
     * @return true if it must be told now
     */
    boolean takeContinue() {
        boolean wanted = awaitsContinue;
        awaitsContinue = false;
        return wanted;
    }

    /**
     * Says whether a request has arrived in part.
     *
     * @return false between requests
     */
    boolean isBetweenRequests() {
        return head.isEmpty();
    }

    /**
     * Describes bytes that are not a request.
     *
     * @param cause what the decoder met
     * @return the answer
     */
    static ProblemDetails problem(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return ProblemDetails.notRun("request-line-too-long", 414, "the request line is too long");
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return ProblemDetails.notRun("header-too-large", 431, "the header fields are too large");
        }
        return ProblemDetails.notRun("malformed-request", 400, "the bytes are not one unambiguous HTTP request");
    }

    private Optional<ReceivedRequest> append(HttpContent content) {
        // What the caller sends without waiting for the answer to its question needs no answer.
        awaitsContinue &= !content.content().isReadable();
        if (body.size() + content.content().readableBytes() > maxBodyBytes) {
            return refused(tooLarge());
        }
        try {
            content.content()
                    .getBytes(
                            content.content().readerIndex(),
                            body,
                            content.content().readableBytes());
        } catch (IOException e) {
            throw new IllegalStateException("memory takes every byte", e);
        }
        if (!(content instanceof LastHttpContent)) {
            return Optional.empty();
        }
        ReceivedRequest whole = new ReceivedRequest.Whole(head.orElseThrow(), body.toByteArray());
        head = Optional.empty();
        body = new ByteArrayOutputStream(0);
        return Optional.of(whole);
    }

    private Optional<ProblemDetails> judge(HttpRequest request) {
        boolean old = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        if (!old && !request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return Optional.of(ProblemDetails.notRun("http-version", 505, "only versions 1.1 and 1.0 are spoken"));
        }
        if (!hasSoundFraming(request, old) || !hasSoundTarget(request, old)) {
            return Optional.of(problem(new IllegalArgumentException()));
        }
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
            return Optional.of(tooLarge());
        }
        List<String> expect = request.headers().getAll(HttpHeaderNames.EXPECT);
        if (!expect.isEmpty() && !(expect.size() == 1 && HttpUtil.is100ContinueExpected(request))) {
            return Optional.of(ProblemDetails.notRun("expectation", 417, "only 100-continue can be expected"));
        }
        return Optional.empty();
    }

    private static boolean hasSoundFraming(HttpRequest request, boolean old) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1;
        }
        // Any other coding, or one in HTTP/1.0, is read differently by different servers: request smuggling.
        return !old
                && codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                && !request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private static boolean hasSoundTarget(HttpRequest request, boolean old) {
        int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
        if (hosts > 1 || hosts == 0 && !old) {
            return false;
        }
        return RequestTarget.parse(request.uri()).isPresent();
    }

    private ProblemDetails tooLarge() {
        return ProblemDetails.notRun("body-too-large", 413, "the body exceeds " + maxBodyBytes + " bytes");
    }

    private static Optional<ReceivedRequest> refused(ProblemDetails problem) {
        return Optional.of(new ReceivedRequest.Refused(problem));
    }
}
