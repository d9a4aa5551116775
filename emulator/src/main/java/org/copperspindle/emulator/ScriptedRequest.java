package org.copperspindle.emulator;

import java.util.Map;

/**
 * A request as a scripted upstream got it.
 *
 * @param method HTTP method
 * @param uri    target
 * @param fields header fields by name in lower case; of several with one name the last
 * @param body   the body
 */
public record ScriptedRequest(String method, String uri, Map<String, String> fields, String body) {

    /**
     * Returns a header field.
     *
     * @param name its name in lower case
     * @return its value, empty if it is absent
     */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
