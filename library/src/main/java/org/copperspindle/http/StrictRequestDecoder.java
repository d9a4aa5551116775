package org.copperspindle.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Strict variant of Netty's request decoder. It refuses messages that a load balancer in front and this process
 * could parse differently: those with both Content-Length and Transfer-Encoding, and those with folded header lines
 * (RFC 9112, 5.2 and 6.1). Fires an event when the first byte of a request arrives.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /** Fired as a user event at the first byte of each request. */
    static final Object REQUEST_STARTED = new Object();

    private static final byte LINE_FEED = '\n';

    private boolean inHead = true;
    private boolean requestStarted;
    private boolean refused;

    StrictRequestDecoder(HttpLimits limits) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxLineBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true));
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (refused) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (inHead && !requestStarted) {
            requestStarted = true;
            ctx.fireUserEventTriggered(REQUEST_STARTED);
        }
        if (inHead && isFolded(buffer)) {
            refused = true;
            throw new CorruptedFrameException("folded header line");
        }
        int before = out.size();
        super.decode(ctx, buffer, out);
        for (Object part : out.subList(before, out.size())) {
            updateState(part);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    private void updateState(Object part) {
        if (part instanceof HttpRequest) {
            inHead = false;
        }
        if (part instanceof LastHttpContent) {
            inHead = true;
            requestStarted = false;
        }
    }

    /**
     * Checks the header lines up to the blank line for leading whitespace. The decoder consumes whole lines, so the
     * buffer starts at the beginning of a line.
     */
    private static boolean isFolded(ByteBuf buffer) {
        int start = buffer.readerIndex();
        int end = buffer.writerIndex();
        boolean lineSeen = false;
        while (start < end) {
            byte first = buffer.getByte(start);
            if (first == ' ' || first == '\t') {
                return true;
            }
            int lineFeed = ByteBufUtil.indexOf(buffer, start, end, LINE_FEED);
            boolean blank = lineFeed == start || lineFeed == start + 1 && first == '\r';
            if (lineFeed < 0 || blank && lineSeen) {
                return false;
            }
            lineSeen |= !blank;
            start = lineFeed + 1;
        }
        return false;
    }
}
