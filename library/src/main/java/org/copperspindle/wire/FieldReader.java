package org.copperspindle.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ImmutableValue;
import org.msgpack.value.ValueFactory;
import org.msgpack.value.ValueType;

/**
 * Reads the numbered fields of one received message. A field of an unexpected type is treated as absent.
 */
public final class FieldReader {

    /** No message declares as many fields; a larger count means a malformed or hostile frame. */
    private static final int MAX_FIELDS = 256;

    private static final int MAX_LIST_LENGTH = 1 << 16;

    private final Map<Integer, ImmutableValue> values = new HashMap<>();

    private FieldReader() {}

    /**
     * Reads all fields of a message body.
     *
     * @param in            unpacker positioned at the map of fields
     * @param payloadLength length in bytes of the whole payload that {@code in} reads
     * @return the fields
     * @throws IOException        if the payload ends early
     * @throws MalformedFrameException if the payload doesn't have the structure that {@link FieldWriter} writes
     */
    static FieldReader read(MessageUnpacker in, int payloadLength) throws IOException, MalformedFrameException {
        int count = in.unpackMapHeader();
        if (count > MAX_FIELDS) {
            throw new MalformedFrameException("too many fields: " + count);
        }
        FieldReader reader = new FieldReader();
        for (int i = 0; i < count; i++) {
            int field = in.unpackInt();
            reader.readValue(field, in, payloadLength);
        }
        return reader;
    }

    /**
     * Returns an integer field.
     *
     * @param field    number of the field
     * @param fallback value if it is absent
     * @return its value
     */
    public long getLong(int field, long fallback) {
        ImmutableValue value = values.get(field);
        return value != null && value.isIntegerValue() && value.asIntegerValue().isInLongRange()
                ? value.asIntegerValue().toLong()
                : fallback;
    }

    /**
     * Returns a boolean field.
     *
     * @param field number of the field
     * @return its value, false if it is absent
     */
    public boolean getBoolean(int field) {
        return getLong(field, 0) != 0;
    }

    /**
     * Returns a string field.
     *
     * @param field number of the field
     * @return its value, empty if it is absent
     */
    public String getString(int field) {
        return findString(field).orElse("");
    }

    /**
     * Returns a string field that may be absent.
     *
     * @param field number of the field
     * @return its value
     */
    public Optional<String> findString(int field) {
        ImmutableValue value = values.get(field);
        return value != null && value.isStringValue()
                ? Optional.of(value.asStringValue().asString())
                : Optional.empty();
    }

    /**
     * Returns a byte string field.
     *
     * @param field number of the field
     * @return its value, empty if it is absent
     */
    public byte[] getBytes(int field) {
        ImmutableValue value = values.get(field);
        return value != null && value.isBinaryValue() ? value.asBinaryValue().asByteArray() : new byte[0];
    }

    /**
     * Returns a list of byte strings.
     *
     * @param field number of the field
     * @return its values, empty if it is absent
     */
    public List<byte[]> getList(int field) {
        ImmutableValue value = values.get(field);
        if (value == null || !value.isArrayValue()) {
            return List.of();
        }
        List<byte[]> list = new ArrayList<>();
        value.asArrayValue().forEach(v -> list.add(v.asBinaryValue().asByteArray()));
        return list;
    }

    /**
     * Returns a list of strings.
     *
     * @param field number of the field
     * @return its values, empty if it is absent
     */
    public List<String> getStrings(int field) {
        return getList(field).stream()
                .map(v -> new String(v, StandardCharsets.UTF_8))
                .toList();
    }

    private void readValue(int field, MessageUnpacker in, int payloadLength)
            throws IOException, MalformedFrameException {
        ValueType type = in.getNextFormat().getValueType();
        if (type == ValueType.ARRAY) {
            readList(field, in, payloadLength);
            return;
        }
        if (type == ValueType.BINARY) {
            values.put(field, readBinary(in, payloadLength));
            return;
        }
        if (type == ValueType.STRING) {
            values.put(field, ValueFactory.newString(readPayload(in, in.unpackRawStringHeader(), payloadLength), true));
            return;
        }
        if (type == ValueType.MAP || type == ValueType.EXTENSION) {
            skip(in);
            return;
        }
        values.put(field, in.unpackValue());
    }

    private void readList(int field, MessageUnpacker in, int payloadLength)
            throws IOException, MalformedFrameException {
        int size = in.unpackArrayHeader();
        if (size > MAX_LIST_LENGTH) {
            throw new MalformedFrameException("list too long: " + size);
        }
        List<ImmutableValue> list = new ArrayList<>(Math.min(size, 16));
        for (int i = 0; i < size; i++) {
            if (in.getNextFormat().getValueType() == ValueType.BINARY) {
                list.add(readBinary(in, payloadLength));
            } else {
                skip(in);
            }
        }
        values.put(field, ValueFactory.newArray(list.toArray(new ImmutableValue[0]), true));
    }

    private static ImmutableValue readBinary(MessageUnpacker in, int payloadLength)
            throws IOException, MalformedFrameException {
        return ValueFactory.newBinary(readPayload(in, in.unpackBinaryHeader(), payloadLength), true);
    }

    private static byte[] readPayload(MessageUnpacker in, int length, int payloadLength)
            throws IOException, MalformedFrameException {
        // The unpacker allocates the length given in the header before it reads the bytes, so a frame of ten bytes
        // could make it allocate 2 GiB and crash the process.
        if (length > payloadLength - in.getTotalReadBytes()) {
            throw new MalformedFrameException("field longer than its frame: " + length);
        }
        return in.readPayload(length);
    }

    /**
     * Skips a value written by a newer version. Nested values are counted here because the unpacker's own count
     * overflows on a map header of 2^31 entries, and a damaged frame would be accepted as complete. Stops at the end
     * of the payload at the latest, and doesn't recurse, so that deep nesting can't overflow the stack.
     */
    private static void skip(MessageUnpacker in) throws IOException {
        long remaining = 1;
        while (remaining > 0) {
            remaining--;
            ValueType type = in.getNextFormat().getValueType();
            if (type == ValueType.MAP) {
                remaining += 2L * in.unpackMapHeader();
            } else if (type == ValueType.ARRAY) {
                remaining += in.unpackArrayHeader();
            } else {
                in.skipValue();
            }
        }
    }
}
