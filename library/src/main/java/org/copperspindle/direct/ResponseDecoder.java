package org.copperspindle.direct;

import java.util.List;
import java.util.Optional;

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
import io.netty.util.AsciiString;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.memory.MemoryHolder;

/**
 * Variant of Netty's decoder that bounds what is not part of a body, and never reads bytes that belong to no call.
 * Netty bounds single lines and blocks of fields only, and keeps bytes after a response for the next one.
 *
 * <p>It also rejects lines in which Netty guesses what is meant: any number as a status, and a field name that ends at its
 * first blank.
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
    private static final byte FIELD_NAME_END = ':';

    private final Receiver receiver;
    private boolean expected;
    private boolean head;
    private boolean withoutBody;
    private boolean countsBody;
    private long headBytes;
    private long framingBytes;
    private long dataBytes;
    private Optional<HeldMemory> memory = Optional.empty();
    private Optional<HeldResponseMemory> held = Optional.empty();
    private Optional<MemoryHolder> caller = Optional.empty();
    private boolean repeatable;

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
     * Counts the fields of the responses that are expected from now on.
     *
     * @param budget memory that all that is held for callers shares
     */
    void countIn(HeldMemory budget) {
        memory = Optional.of(budget);
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
        countsBody = false;
        headBytes = 0;
        framingBytes = 0;
        dataBytes = 0;
        caller = Optional.empty();
        repeatable = false;
    }

    /**
     * Sets by what the expected response is ranked among all that is held.
     *
     * @param holder    holder of the caller's request; empty for a call of the node's own
     * @param mayRepeat true if the call may be sent more than once
     */
    void countFor(Optional<MemoryHolder> holder, boolean mayRepeat) {
        caller = holder;
        repeatable = mayRepeat;
    }

    /** Counts the body of the expected response as well, which its reader keeps until it is complete. */
    void countBody() {
        countsBody = true;
    }

    /** Expects nothing more: the call has been aborted. */
    public void expectNothing() {
        end();
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
        end();
        super.handlerRemoved0(ctx);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (!expected) {
            dropStray(buffer);
            return;
        }
        int before = out.size();
        int start = buffer.readerIndex();
        boolean inHead = head;
        super.decode(ctx, buffer, out);
        int consumed = buffer.readerIndex() - start;
        List<Object> parts = out.subList(before, out.size());
        int data = count(consumed, parts);
        if (expected && memory.isPresent()) {
            hold(ctx, inHead, buffer, start, consumed, parts);
            holdBody(data);
        }
        if (!expected) {
            dropStray(buffer);
        } else if (headBytes > MAX_HEAD_BYTES) {
            exceed(ResponseBound.HEAD, MAX_HEAD_BYTES, buffer);
        } else if (framingBytes > FRAMING_BASE_BYTES + FRAMING_PER_DATA_BYTE * dataBytes) {
            exceed(ResponseBound.FRAMING, FRAMING_BASE_BYTES, buffer);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        StatusLineSyntax.check(statusLine[0], statusLine[1], statusLine[2]);
        return super.createMessage(statusLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != FIELD_NAME_END) {
            throw new IllegalArgumentException("field name without a colon directly after it");
        }
        return super.splitHeaderName(line, start, length);
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

    /** Counts the bytes that were decoded and returns how many of them are data. */
    private int count(int consumed, List<Object> parts) {
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
                end();
            }
        }
        dataBytes += data;
        if (inHead) {
            headBytes += consumed - data;
        } else {
            framingBytes += consumed - data;
        }
        return data;
    }

    /** Reserves the memory of the fields that were decoded, and releases that of fields that are not kept. */
    private void hold(
            ChannelHandlerContext ctx, boolean inHead, ByteBuf buffer, int start, int consumed, List<Object> parts) {
        if (held.isEmpty()) {
            held = Optional.of(openHeld(ctx));
        }
        HeldResponseMemory current = held.get();
        if (inHead) {
            current.addHead(buffer, start, consumed);
        } else if (parts.isEmpty()) {
            current.addTrailers(buffer, start, consumed);
        } else {
            current.dropTrailers();
        }
        boolean interimEnded = head && !parts.isEmpty();
        if (interimEnded) {
            current.dropHead();
        }
    }

    private HeldResponseMemory openHeld(ChannelHandlerContext ctx) {
        return caller.map(holder -> HeldResponseMemory.ofCaller(memory.get(), holder))
                .orElseGet(() -> HeldResponseMemory.ofNode(memory.get(), repeatable, () -> breakOffLater(ctx)));
    }

    private void holdBody(int data) {
        if (countsBody && data > 0) {
            held.ifPresent(response -> response.addBody(data));
        }
    }

    /** Leaves the call whose reservation made memory short to be handled first. */
    private void breakOffLater(ChannelHandlerContext ctx) {
        Optional<HeldResponseMemory> broken = held;
        ctx.executor().execute(() -> {
            // Another call may have begun on this connection.
            if (expected && held.equals(broken)) {
                ResponseBound bound = broken.filter(HeldResponseMemory::hasBody).isPresent()
                        ? ResponseBound.HELD_BODY
                        : ResponseBound.HELD_FIELDS;
                end();
                receiver.onMemoryShort(bound, memory.get().budgetBytes());
            }
        });
    }

    private void end() {
        expected = false;
        held.ifPresent(HeldResponseMemory::close);
        held = Optional.empty();
    }

    private void exceed(ResponseBound bound, long limit, ByteBuf buffer) {
        end();
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
         * The response gave way because memory of this node is short.
         *
         * @param bound  what of it is counted
         * @param budget size of the budget in bytes
         */
        default void onMemoryShort(ResponseBound bound, long budget) {
            onExceeded(bound, budget);
        }

        /**
         * Bytes were received that belong to no call, or that follow a complete response.
         *
         * @param bytes how many
         */
        void onStrayBytes(int bytes);
    }
}
