package org.copperspindle.emulator;

/**
 * The place in a response from which bytes follow without end.
 */
public enum EndlessPlace {
    /** The status line. */
    STATUS_LINE("HTTP/1.1 200 ", "O"),
    /** Many header fields. */
    HEADER_FIELDS("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
    /** The value of one header field. */
    HEADER_VALUE("HTTP/1.1 200 OK\r\na: ", "b"),
    /** Interim responses. */
    INTERIM("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
    /** Bytes after a switch of protocols that was not requested. */
    SWITCHED_PROTOCOL("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", "x"),
    /** Blank lines instead of a status line. */
    BLANK_LINES("", "\r\n"),
    /** Bytes that are no HTTP from the first one on, without a line end. */
    NO_HTTP("", "\u00ff\u0000"),
    /** Lines that are no HTTP from the first one on. */
    NO_HTTP_LINES("", "-ERR unknown command\r\n"),
    /** A body that has neither a length nor chunks. */
    UNFRAMED_BODY("HTTP/1.1 200 OK\r\n%s\r\n", "id: 1\n"),
    /** Chunks of a body. */
    CHUNKS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "a\r\ndata: 1234\r\n"),
    /** Chunks of one byte. */
    SMALL_CHUNKS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "1\r\nd\r\n"),
    /** The length of a chunk. */
    CHUNK_LENGTH("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "0"),
    /** The extension of one chunk. */
    CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1;", "e"),
    /** Chunks of one byte with an extension each that is long but allowed. */
    CHUNK_EXTENSIONS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "1;" + "e".repeat(4000) + "\r\nd\r\n"),
    /** Trailer fields. */
    TRAILER_FIELDS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nd\r\n0\r\n", "a: b\r\n"),
    /** The value of one trailer field. */
    TRAILER_VALUE("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nd\r\n0\r\na: ", "b"),
    /** Lines of comments that complete no event. */
    COMMENT_LINES("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "4\r\n: c\n\r\n"),
    /** Events of an unknown number. */
    EVENTS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "9\r\ndata: e\n\n\r\n"),
    /** Comments, each of them an event without content. */
    COMMENTS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "5\r\n: c\n\n\r\n"),
    /** Bytes after a complete response with a length. */
    AFTER_LENGTH("HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nwhole", "x"),
    /** Bytes after a complete response in chunks. */
    AFTER_CHUNKS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "x"),
    /** Responses after a complete response. */
    MORE_RESPONSES(
            "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");

    private static final int PIECE_BYTES = 8192;

    private final String begin;
    private final String repeated;

    EndlessPlace(String begin, String repeated) {
        this.begin = begin;
        this.repeated = repeated;
    }

    /**
     * Returns what is sent once, before the bytes without end.
     *
     * @param request the request
     * @param type    content type of the response
     * @return the beginning of a response
     */
    public String begin(ScriptedRequest request, String type) {
        String fields = "X-Response-Signature: s\r\nContent-Type: " + type + "\r\n";
        String id = request.field("x-request-id");
        return begin.replace("%s", id.isEmpty() ? fields : "X-Request-Id: " + id + "\r\n" + fields);
    }

    /**
     * Returns what is sent again and again.
     *
     * @return a whole number of repetitions
     */
    public String piece() {
        return repeated.repeat(Math.max(1, PIECE_BYTES / repeated.length()));
    }
}
