package org.copperspindle.wire;

import java.io.IOException;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads one kind of message. Strict on writing; on reading, a missing field takes its default and an unknown
 * field is skipped, so that versions can differ during a rolling restart.
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
     * @param type         number that names it on the wire; never reused
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
     * @return its type, number of fields and fields
     */
    public byte[] encode(T message) {
        FieldWriter out = new FieldWriter();
        writer.accept(message, out);
        return out.finish(type);
    }

    /**
     * Decodes a message that travels inside another or in a log record.
     *
     * @param payload what {@link #encode} made
     * @return the message
     * @throws MalformedFrameException if the bytes are not this message
     */
    public T decode(byte[] payload) throws MalformedFrameException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
            int found = in.unpackInt();
            if (found != type) {
                throw new MalformedFrameException("expected message type " + type + ", found " + found);
            }
            return reader.apply(FieldReader.read(in, payload.length));
        } catch (IOException | RuntimeException e) {
            // MessagePack reports hostile bytes as unchecked exceptions, and so do constructors that check fields.
            throw new MalformedFrameException("not a message", e);
        }
    }

    /**
     * Decodes a message that is a part of another one, for the reader of that: what is wrong with the part is wrong with the whole.
     *
     * @param payload what {@link #encode} made
     * @return the message
     * @throws IllegalArgumentException if the bytes are not this message
     */
    public T decodePart(byte[] payload) {
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
