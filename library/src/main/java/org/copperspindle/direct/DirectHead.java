package org.copperspindle.direct;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.copperspindle.http.HeaderField;

/**
 * Status and header fields of an upstream's response.
 *
 * @param status HTTP status
 * @param fields all header fields as received
 */
public record DirectHead(int status, List<HeaderField> fields) {

    private static final int STATUSES_PER_CLASS = 100;
    private static final int SUCCESS_CLASS = 2;
    private static final int SERVER_ERROR_CLASS = 5;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final String CHUNKED = "chunked";

    /** Copies the list. */
    public DirectHead {
        fields = List.copyOf(fields);
    }

    /**
     * Finds a field.
     *
     * @param name its name
     * @return its first value
     */
    public Optional<String> field(String name) {
        return fields.stream().filter(f -> f.hasName(name)).findFirst().map(HeaderField::value);
    }

    /**
     * Finds all fields of a name.
     *
     * @param name the name
     * @return their values in the order in which they were received
     */
    public List<String> values(String name) {
        return fields.stream()
                .filter(f -> f.hasName(name))
                .map(HeaderField::value)
                .toList();
    }

    /**
     * Returns whether the response states where its body ends.
     *
     * @return false if the body ends with its connection, and can't be told from one that was cut off there
     */
    public boolean isDelimited() {
        // As the decoder compares them: a coding that is only similar leaves the end to the connection.
        boolean chunked = values("Transfer-Encoding").stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .anyMatch(coding -> coding.strip().equalsIgnoreCase(CHUNKED));
        return chunked || field("Content-Length").isPresent() || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /**
     * Returns whether the status is a success.
     *
     * @return true for 2xx
     */
    public boolean isSuccess() {
        return status / STATUSES_PER_CLASS == SUCCESS_CLASS;
    }

    /**
     * Returns whether the status is an error of the upstream.
     *
     * @return true for 5xx and above
     */
    public boolean isServerError() {
        return status / STATUSES_PER_CLASS >= SERVER_ERROR_CLASS;
    }
}
