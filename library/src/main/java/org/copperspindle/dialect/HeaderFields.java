package org.copperspindle.dialect;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.copperspindle.http.HeaderField;

/**
 * Which header fields are passed on.
 */
final class HeaderFields {

    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String AUTHORIZATION = "Authorization";
    static final String HOST = "Host";
    static final String CONTENT_TYPE = "Content-Type";
    static final String RETRY_AFTER = "Retry-After";
    private static final String CONNECTION = "Connection";

    /** Fields of one connection only. */
    private static final Set<String> OF_CONNECTION = Set.of(
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

    /** Returns the fields but those of the connection they came on and some others, named in lower case. */
    static List<HeaderField> passedOn(List<HeaderField> fields, Set<String> dropped) {
        Set<String> named = new HashSet<>();
        for (HeaderField field : fields) {
            if (field.hasName(CONNECTION)) {
                for (String name : field.value().split(",")) {
                    named.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        List<HeaderField> kept = new ArrayList<>();
        for (HeaderField field : fields) {
            String name = field.name().toLowerCase(Locale.ROOT);
            if (!OF_CONNECTION.contains(name) && !dropped.contains(name) && !named.contains(name)) {
                kept.add(field);
            }
        }
        return kept;
    }
}
