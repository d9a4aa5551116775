package org.copperspindle.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Trailer fields of a request. They are not passed on, so none is kept.
 */
final class DiscardedTrailers extends DefaultHttpHeaders {

    /** Creates trailer fields for Netty's decoder. */
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new DiscardedTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new DiscardedTrailers();
        }
    };

    @Override
    public HttpHeaders add(String name, Object value) {
        return this;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }
}
