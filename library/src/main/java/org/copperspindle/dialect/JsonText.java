package org.copperspindle.dialect;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * Strict reading of JSON.
 */
public final class JsonText {

    /** Content type of JSON. */
    public static final String CONTENT_TYPE = "application/json";

    /**
     * Rejects duplicate names, which readers interpret differently, and content after the end of the value, which
     * would otherwise be silently cut off.
     */
    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private JsonText() {}

    /**
     * Reads a whole text.
     *
     * @param text UTF-8
     * @return its value
     * @throws IOException if the text is not one whole JSON value
     */
    public static JsonNode read(byte[] text) throws IOException {
        JsonNode node = MAPPER.readTree(text);
        if (node == null || node.isMissingNode()) {
            throw new IOException("empty text");
        }
        return node;
    }

    /**
     * Returns a field.
     *
     * @param object the object
     * @param field  name of the field
     * @return its value
     * @throws IllegalArgumentException if it is missing; names the field
     */
    public static JsonNode require(JsonNode object, String field) {
        JsonNode value = object.get(field);
        if (value == null || value.isNull()) {
            throw new IllegalArgumentException(field + " is missing");
        }
        return value;
    }

    /**
     * Returns a text field.
     *
     * @param object the object
     * @param field  name of the field
     * @return its text
     * @throws IllegalArgumentException if it is missing or not a text; names the field
     */
    public static String requireText(JsonNode object, String field) {
        JsonNode value = require(object, field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " is not a text");
        }
        return value.textValue();
    }

    /**
     * Returns a whole number.
     *
     * @param object the object
     * @param field  name of the field
     * @return its value
     * @throws IllegalArgumentException if it is missing or not a whole number; names the field
     */
    public static long requireLong(JsonNode object, String field) {
        JsonNode value = require(object, field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(field + " is not a whole number");
        }
        return value.longValue();
    }

    /**
     * Returns a whole number that has a lower bound.
     *
     * @param object the object
     * @param field  name of the field
     * @param min    minimum value
     * @return its value
     * @throws IllegalArgumentException if it is missing, not a whole number or below the minimum; names the field
     */
    public static long requireAtLeast(JsonNode object, String field, long min) {
        long value = requireLong(object, field);
        if (value < min) {
            throw new IllegalArgumentException(field + " is below " + min);
        }
        return value;
    }

    /**
     * Returns the factory of new values.
     *
     * @return the factory
     */
    public static JsonNodeFactory nodes() {
        return JsonNodeFactory.instance;
    }
}
