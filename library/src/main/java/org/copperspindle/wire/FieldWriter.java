package org.copperspindle.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Encodes the numbered fields of one message. A field is a scalar, a string, a byte string or a list of byte
 * strings. Nested messages are written as byte strings, so that the reader needs no recursion.
 */
public final class FieldWriter {

    private final MessageBufferPacker body = MessagePack.newDefaultBufferPacker();
    private int count;

    /**
     * Adds an integer.
     *
     * @param field number of the field
     * @param value its value
     * @return this writer
     */
    public FieldWriter put(int field, long value) {
        try {
            body.packInt(field).packLong(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        count++;
        return this;
    }

    /**
     * Adds a boolean.
     *
     * @param field number of the field
     * @param value its value
     * @return this writer
     */
    public FieldWriter put(int field, boolean value) {
        return put(field, value ? 1L : 0L);
    }

    /**
     * Adds a string.
     *
     * @param field number of the field
     * @param value its value
     * @return this writer
     */
    public FieldWriter put(int field, String value) {
        try {
            body.packInt(field).packString(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        count++;
        return this;
    }

    /**
     * Adds a byte string.
     *
     * @param field number of the field
     * @param value its value
     * @return this writer
     */
    public FieldWriter put(int field, byte[] value) {
        try {
            body.packInt(field).packBinaryHeader(value.length).writePayload(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        count++;
        return this;
    }

    /**
     * Adds a list of byte strings, normally encoded messages.
     *
     * @param field  number of the field
     * @param values its values
     * @return this writer
     */
    public FieldWriter put(int field, List<byte[]> values) {
        try {
            body.packInt(field).packArrayHeader(values.size());
            for (byte[] value : values) {
                body.packBinaryHeader(value.length).writePayload(value);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        count++;
        return this;
    }

    /**
     * Adds a list of strings.
     *
     * @param field  number of the field
     * @param values its values
     * @return this writer
     */
    public FieldWriter putStrings(int field, List<String> values) {
        return put(
                field,
                values.stream().map(v -> v.getBytes(StandardCharsets.UTF_8)).toList());
    }

    /**
     * Completes the message.
     *
     * @param type type number of the message
     * @return type number, field count and fields
     */
    byte[] finish(int type) {
        try (MessageBufferPacker head = MessagePack.newDefaultBufferPacker()) {
            head.packInt(type).packMapHeader(count);
            head.writePayload(body.toByteArray());
            body.close();
            return head.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
