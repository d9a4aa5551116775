package org.copperspindle.http;

import io.netty.handler.codec.DecoderException;

/**
 * There is no room for more bytes of a request.
 */
final class MemoryShortException extends DecoderException {

    private static final long serialVersionUID = 1L;

    MemoryShortException() {
        super("no memory for the request");
    }
}
