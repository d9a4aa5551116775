package org.copperspindle.cli;

import java.nio.charset.StandardCharsets;

/**
 * What the clients of a crowd send, and how many they are. Every request is legal as far as it goes, inside limits of 16 KiB
 * for header fields and 512 KiB for bodies.
 */
enum CrowdKind {

    /** Bodies in large chunks that stop just short of their end. */
    LARGE_CHUNKS(120) {
        @Override
        String bytes(String start) {
            String chunk = "8000\r\n" + "a".repeat(0x8000) + "\r\n";
            return start + CHUNKED + chunk.repeat(MAX_BODY / 0x8000 - 1);
        }
    },
    /** Bodies in one chunk that stop just short of its end. */
    ONE_CHUNK(120) {
        @Override
        String bytes(String start) {
            return start + CHUNKED + Integer.toHexString(MAX_BODY) + "\r\n" + "a".repeat(MAX_BODY - 10);
        }
    },
    /** Bodies in chunks of one byte that stop just short of their end. */
    CHUNKS_OF_ONE_BYTE(120) {
        @Override
        String bytes(String start) {
            return start + CHUNKED + "1\r\na\r\n".repeat(0x10000 - 1);
        }
    },
    /** Small bodies with a length that stop just short of their end. */
    SMALL_BODIES(450) {
        @Override
        String bytes(String start) {
            return start + "Content-Length: 65000\r\n\r\n" + "a".repeat(64990);
        }
    },
    /** Heads of many short lines without their end. */
    UNFINISHED_HEADS(400) {
        @Override
        String bytes(String start) {
            return start + SHORT_LINES;
        }
    },
    /** Heads of many short lines, and bodies that don't come. */
    HEADS_WITH_OPEN_BODIES(400) {
        @Override
        String bytes(String start) {
            return start + SHORT_LINES + "Content-Length: 5\r\n\r\n";
        }
    },
    /** Whole requests with heads of many short lines, behind each other. */
    PIPELINED_HEADS(100) {
        @Override
        String bytes(String start) {
            return (start + SHORT_LINES + "Content-Length: 0\r\n\r\n").repeat(16);
        }
    },
    /** One header line that doesn't end. */
    UNFINISHED_LINES(450) {
        @Override
        String bytes(String start) {
            return start + "X-Long: " + "a".repeat(15000);
        }
    },
    /** The line before a chunk, with an extension that doesn't end. */
    UNFINISHED_EXTENSIONS(450) {
        @Override
        String bytes(String start) {
            return start + CHUNKED + "5;e=" + "a".repeat(15000);
        }
    },
    /** Whole bodies with trailers of many short lines that don't end. */
    UNFINISHED_TRAILERS(400) {
        @Override
        String bytes(String start) {
            return start + CHUNKED + "1\r\na\r\n0\r\n" + SHORT_LINES;
        }
    },
    /** Small whole requests behind each other, whose responses are not read. */
    PIPELINED_REQUESTS(200) {
        @Override
        String bytes(String start) {
            return (start + "Content-Length: 0\r\n\r\n").repeat(4000);
        }
    },
    /** Half a request line. */
    HALF_LINES(1500) {
        @Override
        String bytes(String start) {
            return "GET /";
        }
    };

    /** Limit on a body in bytes, in the settings of the test. */
    static final int MAX_BODY = 512 << 10;

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    /** Four bytes a line, 15,600 in all. */
    private static final String SHORT_LINES = "a:\r\n".repeat(3900);

    private final int clients;

    CrowdKind(int clients) {
        this.clients = clients;
    }

    int clients() {
        return clients;
    }

    /**
     * Returns what each client sends.
     *
     * @param start request line and header fields that the server requires
     */
    byte[] bytesAfter(String start) {
        return bytes(start).getBytes(StandardCharsets.US_ASCII);
    }

    abstract String bytes(String start);
}
