package org.copperspindle.wire;

import java.io.IOException;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes one message type. Every field is written; on reading, a missing field takes its default and an
 * unknown field is skipped, so that processes of different versions can run together during a rolling restart.
 *
 * @param <T> the message
 */
public final class MessageCodec<T extends WireMessage> {

    private final int type;
    private final Class<T> messageClass;
    private final BiConsumer<T, FieldWriter> writer;
    private final Function<FieldReader, T> reader;

    private MessageCodec(
            int type, Class<T> messageClass, BiConsumer<T, FieldWriter> writer, Function<FieldReader, T> reader) {
        this.type = type;
        this.messageClass = messageClass;
        this.writer = writer;
        this.reader = reader;
    }

    /**
     * Declares the codec of a message.
     *
     * @param type         type number on the wire; never reused for another message
     * @param messageClass its class
     * @param writer       writes its fields
     * @param reader       reads its fields
     * @param <T>          its class
     * @return the codec
     */
    public static <T extends WireMessage> MessageCodec<T> of(
            int type, Class<T> messageClass, BiConsumer<T, FieldWriter> writer, Function<FieldReader, T> reader) {
        return new MessageCodec<>(type, messageClass, writer, reader);
    }

    int type() {
        return type;
    }

    /**
     * Returns the class of the messages.
     *
     * @return the class
     */
    public Class<T> messageClass() {
        return messageClass;
    }

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return type number, field count and fields
     */
    public byte[] encode(T message) {
        FieldWriter out = new FieldWriter();
        writer.accept(message, out);
        return out.finish(type);
    }

    /**
     * Decodes a message that is nested in another message or stored in a log record.
     *
     * @param payload bytes returned by {@link #encode}
     * @return the message
     * @throws MalformedFrameException if the bytes are not a message of this type
     */
    public T decode(byte[] payload) throws MalformedFrameException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
            int found = in.unpackInt();
            if (found != type) {
                throw new MalformedFrameException("expected message type " + type + ", found " + found);
            }
            return reader.apply(FieldReader.read(in, payload.length));
        } catch (IOException | RuntimeException e) {
            // MessagePack throws unchecked exceptions on invalid bytes, and so do constructors that validate fields.
            throw new MalformedFrameException("not a message", e);
        }
    }

    /**
     * Decodes a nested message while the enclosing message is being read. The unchecked exception makes the
     * enclosing message malformed too.
     *
     * @param payload bytes returned by {@link #encode}
     * @return the message
     * @throws IllegalArgumentException if the bytes are not a message of this type
     */
    public T decodeNested(byte[] payload) {
        try {
            return decode(payload);
        } catch (MalformedFrameException e) {
            throw new IllegalArgumentException(e);
        }
    }

    T read(FieldReader fields) {
        return reader.apply(fields);
    }
}
