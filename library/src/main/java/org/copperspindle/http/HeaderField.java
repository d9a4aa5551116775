package org.copperspindle.http;

/**
 * One header field of a message.
 *
 * @param name  field name, in the case in which it was received or will be sent
 * @param value field value without surrounding whitespace
 */
public record HeaderField(String name, String value) {

    /**
     * Compares field names without regard to case.
     *
     * @param other a field name
     * @return true if it names the same field
     */
    public boolean hasName(String other) {
        return name.equalsIgnoreCase(other);
    }
}
