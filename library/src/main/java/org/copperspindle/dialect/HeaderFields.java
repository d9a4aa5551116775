package org.copperspindle.dialect;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.copperspindle.http.HeaderField;

/**
 * Names of header fields, and the choice of those that are forwarded.
 */
final class HeaderFields {

    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String AUTHORIZATION = "Authorization";
    static final String HOST = "Host";
    static final String CONTENT_TYPE = "Content-Type";
    static final String CONTENT_ENCODING = "Content-Encoding";
    static final String RETRY_AFTER = "Retry-After";
    private static final String CONNECTION = "Connection";

    /** Fields that apply to one connection only. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HeaderFields() {}

    /**
     * Returns the fields to forward: all but the hop-by-hop fields and those to drop.
     *
     * @param fields   fields as received
     * @param dropped  names in lower case of fields that are never forwarded
     * @param endToEnd names in lower case of fields that are meant for every recipient, which a connection option must not
     *     name (RFC 9110, 7.6.1) and does not remove
     */
    static List<HeaderField> forwarded(List<HeaderField> fields, Set<String> dropped, Set<String> endToEnd) {
        Set<String> connectionOptions = new HashSet<>();
        for (HeaderField field : fields) {
            if (field.hasName(CONNECTION)) {
                for (String name : field.value().split(",")) {
                    connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        connectionOptions.removeAll(endToEnd);
        List<HeaderField> forwarded = new ArrayList<>();
        for (HeaderField field : fields) {
            String name = field.name().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !dropped.contains(name) && !connectionOptions.contains(name)) {
                forwarded.add(field);
            }
        }
        return forwarded;
    }
}
