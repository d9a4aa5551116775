package org.copperspindle.direct;

import java.util.List;

import org.copperspindle.http.HeaderField;

/**
 * One call to an upstream.
 *
 * @param upstream  id of the intended upstream
 * @param address   IP:PORT
 * @param method    HTTP method
 * @param uri       target in the request line
 * @param fields    all header fields but those for the framing of the body
 * @param body      body, empty for none
 * @param requestId id of the caller's request that is sent; empty for a call of the node's own, and for a request without an
 *     id, which needs a new connection
 * @param check     by what its response is recognised
 * @param use       on which connection it may be sent
 */
public record DirectCall(
        String upstream,
        String address,
        String method,
        String uri,
        List<HeaderField> fields,
        byte[] body,
        String requestId,
        ResponseCheck check,
        ConnectionUse use) {

    /** Name of the field that identifies a caller's request. */
    public static final String REQUEST_ID_FIELD = "X-Request-Id";

    /** Copies the list. An upstream may run what bears an id as the request of that id, so no other id is accepted. */
    public DirectCall {
        if (requestId.isEmpty() && check == ResponseCheck.REPEATED_ID && use != ConnectionUse.NEW) {
            throw new IllegalArgumentException("request without an id on a kept connection: " + uri);
        }
        fields = List.copyOf(fields);
        if (!idsOf(fields).stream().allMatch(requestId::equals)) {
            throw new IllegalArgumentException("id of another request than \"" + requestId + "\": " + uri);
        }
    }

    /**
     * Returns the ids in its header fields.
     *
     * @return the values of all fields that identify a caller's request, in their order
     */
    public List<String> sentIds() {
        return idsOf(fields);
    }

    private static List<String> idsOf(List<HeaderField> fields) {
        return fields.stream()
                .filter(field -> field.hasName(REQUEST_ID_FIELD))
                .map(HeaderField::value)
                .toList();
    }
}
