package org.copperspindle.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ImmutableValue;
import org.msgpack.value.ValueFactory;
import org.msgpack.value.ValueType;

/**
 * The numbered fields of one received message. A field of an unexpected type reads as absent.
 */
public final class FieldReader {

    /** Above any message that the project declares; a larger count marks a malformed or hostile frame. */
    private static final int MAX_FIELDS = 256;

    private static final int MAX_LIST = 1 << 16;

    private final Map<Integer, ImmutableValue> values = new HashMap<>();

    private FieldReader() {}

    /**
     * Reads all fields of a message body.
     *
     * @param in positioned at the map of fields
     * @return the fields
     * @throws IOException        if the bytes end early
     * @throws MalformedFrameException if the structure is not one that {@link FieldWriter} makes
     */
    static FieldReader read(MessageUnpacker in) throws IOException, MalformedFrameException {
        int count = in.unpackMapHeader();
        if (count > MAX_FIELDS) {
            throw new MalformedFrameException("too many fields: " + count);
        }
        FieldReader reader = new FieldReader();
        for (int i = 0; i < count; i++) {
            int field = in.unpackInt();
            reader.readValue(field, in);
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

    private void readValue(int field, MessageUnpacker in) throws IOException, MalformedFrameException {
        MessageFormat format = in.getNextFormat();
        ValueType type = format.getValueType();
        if (type == ValueType.ARRAY) {
            readList(field, in);
            return;
        }
        if (type == ValueType.MAP || type == ValueType.EXTENSION) {
            // From a newer version: skipped without recursion, so depth cannot overflow the stack.
            in.skipValue();
            return;
        }
        values.put(field, in.unpackValue());
    }

    private void readList(int field, MessageUnpacker in) throws IOException, MalformedFrameException {
        int size = in.unpackArrayHeader();
        if (size > MAX_LIST) {
            throw new MalformedFrameException("list too long: " + size);
        }
        List<ImmutableValue> list = new ArrayList<>(Math.min(size, 16));
        for (int i = 0; i < size; i++) {
            if (in.getNextFormat().getValueType() == ValueType.BINARY) {
                list.add(in.unpackValue());
            } else {
                in.skipValue();
            }
        }
        values.put(field, ValueFactory.newArray(list.toArray(new ImmutableValue[0]), true));
    }
}
