package org.copperspindle.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;

/**
 * A request as it was written or read.
 *
 * @param method method
 * @param target path and query, not decoded
 * @param fields header fields in their order
 * @param body   body, one character for each byte
 */
record HttpMessage(String method, String target, List<HeaderField> fields, String body) {

    private static final String LINE_END = "\r\n";
    private static final String HEAD_END = LINE_END + LINE_END;

    HttpMessage {
        fields = List.copyOf(fields);
    }

    /** Returns a request from the text that a caller writes. */
    static HttpMessage parse(String text) {
        int end = text.indexOf(HEAD_END);
        String[] lines = text.substring(0, end).split(LINE_END);
        String[] first = lines[0].split(" ");
        List<HeaderField> fields = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            fields.add(new HeaderField(
                    lines[i].substring(0, colon), lines[i].substring(colon + 1).trim()));
        }
        return new HttpMessage(first[0], first[1], fields, text.substring(end + HEAD_END.length()));
    }

    /** Returns a request that has arrived. */
    static HttpMessage of(HttpExchange exchange) {
        String body = new String(exchange.body(), StandardCharsets.ISO_8859_1);
        return new HttpMessage(exchange.method(), exchange.uri(), exchange.fields(), body);
    }

    /** Returns the values of all fields of a name, in their order. */
    List<String> values(String name) {
        return fields.stream()
                .filter(field -> field.hasName(name))
                .map(HeaderField::value)
                .toList();
    }

    /** Returns the value of the first field of a name. */
    Optional<String> value(String name) {
        return values(name).stream().findFirst();
    }

    /** Returns the target without its query. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
