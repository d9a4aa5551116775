package org.copperspindle.direct;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Variant of Netty's decoder that bounds what is not part of a body, and never reads bytes that belong to no call.
 * Netty bounds single lines and blocks of fields only, and keeps bytes after a response for the next one.
 */
public final class ResponseDecoder extends HttpResponseDecoder {

    /** Limit on a status line, or the line before a chunk, in bytes. */
    static final int MAX_LINE_BYTES = 8192;

    /** Limit on a block of fields in bytes. */
    static final int MAX_FIELDS_BYTES = 32768;

    /** Limit on everything before the body: the largest final head, and as much again twice for interim responses. */
    static final int MAX_HEAD_BYTES = 3 * (MAX_LINE_BYTES + MAX_FIELDS_BYTES);

    /** Framing that is allowed for a body of any size, in bytes. */
    static final int FRAMING_BASE_BYTES = 256 << 10;

    /** Framing allowed for each byte of data. A chunk of one byte has five without an extension. */
    static final int FRAMING_PER_DATA_BYTE = 8;

    private static final int MAX_CHUNK_BYTES = 65536;

    private final Receiver receiver;
    private boolean expected;
    private boolean head;
    private boolean withoutBody;
    private long headBytes;
    private long framingBytes;
    private long dataBytes;

    /**
     * Creates the decoder of one connection.
     *
     * @param receiver closes the connection
     */
    public ResponseDecoder(Receiver receiver) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_FIELDS_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
        this.receiver = receiver;
    }

    /**
     * Expects the response to a call.
     *
     * @param method HTTP method of the call
     */
    public void expectResponse(String method) {
        expected = true;
        head = true;
        withoutBody = method.equals(HttpMethod.HEAD.name());
        headBytes = 0;
        framingBytes = 0;
        dataBytes = 0;
    }

    /** Expects nothing more: the call has been aborted. */
    public void expectNothing() {
        expected = false;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (!expected) {
            dropStray(buffer);
            return;
        }
        int before = out.size();
        int readable = buffer.readableBytes();
        super.decode(ctx, buffer, out);
        count(readable - buffer.readableBytes(), out.subList(before, out.size()));
        if (!expected) {
            dropStray(buffer);
        } else if (headBytes > MAX_HEAD_BYTES) {
            exceed(ResponseBound.HEAD, MAX_HEAD_BYTES, buffer);
        } else if (framingBytes > FRAMING_BASE_BYTES + FRAMING_PER_DATA_BYTE * dataBytes) {
            exceed(ResponseBound.FRAMING, FRAMING_BASE_BYTES, buffer);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutBody || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        // No call requests it.
        return false;
    }

    private void count(int consumed, List<Object> parts) {
        boolean inHead = head;
        int data = 0;
        for (Object part : parts) {
            if (part instanceof HttpResponse response) {
                head = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            if (part instanceof HttpContent content) {
                data += content.content().readableBytes();
            }
            if (part instanceof LastHttpContent && !head) {
                expected = false;
            }
        }
        dataBytes += data;
        if (inHead) {
            headBytes += consumed - data;
        } else {
            framingBytes += consumed - data;
        }
    }

    private void exceed(ResponseBound bound, long limit, ByteBuf buffer) {
        expected = false;
        buffer.skipBytes(buffer.readableBytes());
        receiver.onExceeded(bound, limit);
    }

    private void dropStray(ByteBuf buffer) {
        int bytes = buffer.readableBytes();
        if (bytes > 0) {
            buffer.skipBytes(bytes);
            receiver.onStrayBytes(bytes);
        }
    }

    /** Closes the connection. */
    public interface Receiver {

        /**
         * The response is larger than it may be.
         *
         * @param bound what is too large
         * @param limit the limit in bytes
         */
        void onExceeded(ResponseBound bound, long limit);

        /**
         * Bytes were received that belong to no call, or that follow a complete response.
         *
         * @param bytes how many
         */
        void onStrayBytes(int bytes);
    }
}
