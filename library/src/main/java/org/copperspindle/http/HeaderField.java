package org.copperspindle.http;

/**
 * One header field of a message.
 *
 * @param name  name, in the case in which it was or will be sent
 * @param value value without surrounding blanks
 */
public record HeaderField(String name, String value) {

    /**
     * Compares the name.
     *
     * @param other a field name
     * @return true if it names the same field; case does not matter
     */
    public boolean hasName(String other) {
        return name.equalsIgnoreCase(other);
    }
}
