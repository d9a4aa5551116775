package org.copperspindle.direct;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.copperspindle.http.HeaderField;

/**
 * Writes one call to a connection. The connection copies what is written to it, so a long body is written in parts, no faster
 * than the upstream reads it.
 */
final class RequestWriter {

    /** Bodies up to this size, in bytes, are written at once. */
    private static final int LONG_BODY_BYTES = 64 << 10;

    private static final int PART_BYTES = 32 << 10;

    private final Channel channel;
    private final DirectCall call;
    private final ChannelFutureListener done;
    private int written;
    private boolean writing;

    /**
     * Creates a writer.
     *
     * @param channel the connection
     * @param call    the call
     * @param done    notified when the whole call is written, or a part of it can't be
     */
    RequestWriter(Channel channel, DirectCall call, ChannelFutureListener done) {
        this.channel = channel;
        this.call = call;
        this.done = done;
    }

    /** Writes the head and as much of the body as the connection takes now. */
    void start() {
        HttpVersion version = HttpVersion.HTTP_1_1;
        HttpMethod method = HttpMethod.valueOf(call.method());
        if (call.body().length <= LONG_BODY_BYTES) {
            written = call.body().length;
            ByteBuf body = Unpooled.wrappedBuffer(call.body());
            channel.writeAndFlush(withFields(new DefaultFullHttpRequest(version, method, call.uri(), body)))
                    .addListener(done);
            return;
        }
        // Without its head, the upstream would read the body as requests.
        channel.write(withFields(new DefaultHttpRequest(version, method, call.uri())))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        resume();
    }

    /** Goes on when the connection can take more. */
    void resume() {
        if (writing || written == call.body().length) {
            return;
        }
        // A write can change whether the connection is writable, which calls this again, and the encoder can't be
        // entered twice.
        writing = true;
        while (written < call.body().length && channel.isWritable()) {
            writePart();
            if (!channel.isWritable() || written == call.body().length) {
                channel.flush();
            }
        }
        writing = false;
    }

    private void writePart() {
        int bytes = Math.min(PART_BYTES, call.body().length - written);
        ByteBuf part = Unpooled.wrappedBuffer(call.body(), written, bytes);
        written += bytes;
        if (written == call.body().length) {
            channel.write(new DefaultLastHttpContent(part)).addListener(done);
            return;
        }
        ChannelFuture result = channel.write(new DefaultHttpContent(part));
        result.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private HttpRequest withFields(HttpRequest request) {
        List<HeaderField> fields = call.fields();
        fields.forEach(field -> request.headers().add(field.name(), field.value()));
        boolean mayHaveBody = !call.method().equals("GET") && !call.method().equals("HEAD");
        if (call.body().length > 0 || mayHaveBody) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }
}
