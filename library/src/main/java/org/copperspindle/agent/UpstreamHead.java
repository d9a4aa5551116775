package org.copperspindle.agent;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Head of an upstream's response.
 *
 * @param status      HTTP status
 * @param contentType content type, empty if none
 * @param load        load that the upstream reports, -1 if it reports none
 */
public record UpstreamHead(int status, String contentType, int load) {

    /** Response header in which an upstream reports its load: the number of requests running and waiting there. */
    public static final String LOAD_HEADER = "Upstream-Load";

    static UpstreamHead of(HttpResponse response) {
        HttpHeaders headers = response.headers();
        int load = headers.getInt(LOAD_HEADER, -1);
        return new UpstreamHead(
                response.status().code(), headers.get(HttpHeaderNames.CONTENT_TYPE, ""), Math.max(-1, load));
    }
}
