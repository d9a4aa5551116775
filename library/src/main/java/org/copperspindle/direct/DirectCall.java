package org.copperspindle.direct;

import java.util.List;

import org.copperspindle.http.HeaderField;

/**
 * One call of an upstream.
 *
 * @param upstream  id of the upstream that is meant
 * @param address   IP:PORT
 * @param method    HTTP method
 * @param uri       target as it goes into the request line
 * @param fields    all header fields but those of the body's framing
 * @param body      body, empty for none
 * @param requestId id that the answer must repeat, empty if answers carry none
 * @param use       on which connection it may go out
 */
public record DirectCall(
        String upstream,
        String address,
        String method,
        String uri,
        List<HeaderField> fields,
        byte[] body,
        String requestId,
        ConnectionUse use) {

    /** Copies the list. */
    public DirectCall {
        fields = List.copyOf(fields);
    }
}
