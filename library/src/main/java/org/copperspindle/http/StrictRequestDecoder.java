package org.copperspindle.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Strict variant of Netty's request decoder, which bounds what it keeps and how long it works.
 *
 * <p>It refuses messages that a load balancer in front and this process could parse differently: those with both
 * Content-Length and Transfer-Encoding, and those with folded header lines (RFC 9112, 5.2 and 6.1). It fires an event when
 * the first byte of a request arrives.
 *
 * <p>Netty's decoder turns each line into objects as soon as it has arrived, keeps an incomplete line in the buffer that it was
 * read into, and decodes everything that was read in one go. This one decodes a head only when it is complete and there is
 * room for what it becomes, keeps incomplete bytes in an array of their size, whose room is reserved as well, and takes
 * {@linkplain DecodingTurns turns}.
 */
final class StrictRequestDecoder extends HttpRequestDecoder implements DecodingTurns.Decoder {

    /** Fired as a user event at the first byte of each request. */
    static final Object REQUEST_STARTED = new Object();

    /** Kept bytes move to a smaller array when they take less than this part of theirs. */
    private static final int MAX_SPARE_PARTS = 4;

    private final ArrivingRequest arriving;
    private final DecodingTurns turns;
    private final Connection connection;
    private final RequestHeadScanner scanner;
    private final List<Object> parts = new ArrayList<>();
    private ChannelHandlerContext context;
    private ByteBuf kept = Unpooled.EMPTY_BUFFER;
    private boolean inHead = true;
    private boolean requestStarted;
    private boolean decoding;
    private boolean awaitingTurn;
    private boolean discarding;

    StrictRequestDecoder(HttpLimits limits, ArrivingRequest arriving, DecodingTurns turns, Connection connection) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxLineBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setAllowDuplicateContentLengths(false)
                .setTrailersFactory(DiscardedTrailers.FACTORY)
                .setStrictLineParsing(true));
        this.arriving = arriving;
        this.turns = turns;
        this.connection = connection;
        this.scanner = new RequestHeadScanner(limits);
    }

    /** Returns whether bytes that have arrived wait for their turn; no more should be read until then. */
    boolean isAwaitingTurn() {
        return awaitingTurn;
    }

    /** Goes on with bytes that were kept because the connection did not take more requests. */
    void resume() {
        if (kept.isReadable() && !decoding && !awaitingTurn) {
            awaitTurn();
        }
    }

    /** Drops all bytes from now on, those that are kept included. */
    void discard() {
        discarding = true;
        kept = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (!discarding) {
                arriving.recordArrival();
                decodeTurn(join(bytes));
            }
        } finally {
            bytes.release();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Netty's decoder reads on here while it has decoded nothing, also when reading is paused.
        ctx.fireChannelReadComplete();
    }

    @Override
    public int decodeWaiting() {
        awaitingTurn = false;
        int units = discarding ? 0 : decodeTurn(kept);
        connection.onTurnChanged();
        return units;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    private ByteBuf join(ByteBuf bytes) {
        return kept.isReadable() ? kept.writeBytes(bytes) : bytes;
    }

    private int decodeTurn(ByteBuf input) {
        try {
            int units = decodeUnits(input);
            keep(input);
            if (units >= DecodingTurns.CONNECTION_UNITS && kept.isReadable() && connection.takesRequests()) {
                awaitTurn();
            }
            return units;
        } catch (Exception e) {
            discard();
            parts.forEach(ReferenceCountUtil::release);
            parts.clear();
            context.fireExceptionCaught(e);
            return 0;
        }
    }

    private int decodeUnits(ByteBuf input) throws Exception {
        int units = 0;
        decoding = !awaitingTurn;
        while (decoding && input.isReadable() && connection.takesRequests()) {
            int decoded = inHead ? decodeHead(input) : decodeBody(input);
            units += decoded;
            decoding = decoded > 0 && units < DecodingTurns.CONNECTION_UNITS && !discarding;
        }
        decoding = false;
        return units;
    }

    /** Returns the units that were decoded; 0 if the head is not complete. */
    private int decodeHead(ByteBuf input) throws Exception {
        if (!requestStarted) {
            requestStarted = true;
            context.fireUserEventTriggered(REQUEST_STARTED);
        }
        if (scanner.scannedBytes() == 0) {
            skipBlankLines(input);
        }
        if (!scanner.scan(input)) {
            return 0;
        }
        int items = scanner.items();
        if (!arriving.reserveHead(RequestHeadMemory.of(items, scanner.scannedBytes()))) {
            throw new MemoryShortException();
        }
        ByteBuf head = input.readSlice(scanner.scannedBytes());
        scanner.reset();
        while (head.isReadable() && decodeBody(head) > 0) {
            // Netty's decoder may take several steps.
        }
        return items + DecodingTurns.REQUEST_UNITS;
    }

    /** Skips what Netty's decoder skips before a request, so that lines without an end of them are not kept. */
    private static void skipBlankLines(ByteBuf input) {
        while (input.isReadable() && isLineEnd(input.getByte(input.readerIndex()))) {
            input.skipBytes(1);
        }
    }

    private static boolean isLineEnd(byte next) {
        return next == '\r' || next == '\n';
    }

    /** Returns the units that were decoded; 0 if more bytes are needed. */
    private int decodeBody(ByteBuf input) throws Exception {
        int before = input.readableBytes();
        decode(context, input, parts);
        boolean decoded = input.readableBytes() < before || !parts.isEmpty();
        for (Object part : parts) {
            updateState(part);
            context.fireChannelRead(part);
        }
        parts.clear();
        return decoded ? 1 : 0;
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

    /** Keeps what is left of the input. */
    private void keep(ByteBuf input) {
        if (discarding || !input.isReadable()) {
            kept = Unpooled.EMPTY_BUFFER;
        } else if (input != kept) {
            reserve(input.readableBytes());
            kept = Unpooled.buffer(input.readableBytes()).writeBytes(input);
        } else if (kept.readableBytes() < kept.capacity() / MAX_SPARE_PARTS) {
            kept = Unpooled.buffer(kept.readableBytes()).writeBytes(kept);
        } else {
            kept.discardReadBytes();
        }
        if (!discarding) {
            reserve(kept.capacity());
        }
    }

    private void reserve(int bytes) {
        if (!arriving.reserveUndecoded(bytes)) {
            throw new MemoryShortException();
        }
    }

    private void awaitTurn() {
        awaitingTurn = true;
        connection.onTurnChanged();
        turns.await(this);
    }

    /** The connection whose bytes are decoded. */
    interface Connection {

        /** Returns whether another request, or more of one, can be taken now. */
        boolean takesRequests();

        /** Bytes wait for a turn, or no longer do. */
        void onTurnChanged();
    }
}
