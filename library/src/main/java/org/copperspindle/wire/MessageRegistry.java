package org.copperspindle.wire;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Codecs of all messages that a process can encode and decode. Filled at startup and read-only afterwards.
 */
public final class MessageRegistry {

    private final Map<Integer, MessageCodec<?>> byType = new HashMap<>();
    private final Map<Class<?>, MessageCodec<?>> byClass = new HashMap<>();

    /**
     * Registers the codec of a message type.
     *
     * @param codec its codec
     * @return this registry
     * @throws IllegalArgumentException if the type number is already registered
     */
    public MessageRegistry register(MessageCodec<?> codec) {
        if (byType.putIfAbsent(codec.type(), codec) != null) {
            throw new IllegalArgumentException("message type declared twice: " + codec.type());
        }
        byClass.put(codec.messageClass(), codec);
        return this;
    }

    /**
     * Encodes a message.
     *
     * @param message the message; its class must be registered
     * @param <T>     its class
     * @return the frame's payload
     */
    public <T extends WireMessage> byte[] encode(T message) {
        @SuppressWarnings("unchecked")
        MessageCodec<T> codec = (MessageCodec<T>) byClass.get(message.getClass());
        if (codec == null) {
            throw new IllegalArgumentException("message not registered: " + message.getClass());
        }
        return codec.encode(message);
    }

    /**
     * Decodes a frame's payload.
     *
     * @param payload the bytes
     * @return the message; empty if its type is unknown, as from a newer peer
     * @throws MalformedFrameException if the bytes are not a valid message
     */
    public Optional<WireMessage> decode(byte[] payload) throws MalformedFrameException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(payload)) {
            MessageCodec<?> codec = byType.get(in.unpackInt());
            FieldReader fields = FieldReader.read(in, payload.length);
            if (in.hasNext()) {
                throw new MalformedFrameException("bytes after the end of the message");
            }
            return codec == null ? Optional.empty() : Optional.of(codec.read(fields));
        } catch (IOException | RuntimeException e) {
            // MessagePack throws unchecked exceptions on invalid bytes, and so do record constructors that validate
            // fields.
            throw new MalformedFrameException("not a message", e);
        }
    }
}
