package org.copperspindle.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Requests of unusual form inside all limits.
 */
enum LegalRequest {

    /** A head of the largest size in the shortest lines. */
    SHORTEST_LINES {
        @Override
        String text(String start) {
            return start + "a:\r\n".repeat(3900) + "Content-Length: 0\r\n\r\n";
        }
    },
    /** The largest body in one chunk. */
    ONE_CHUNK {
        @Override
        String text(String start) {
            return start + CHUNKED + Integer.toHexString(CrowdKind.MAX_BODY) + "\r\n" + body(CrowdKind.MAX_BODY) + LAST;
        }
    },
    /** The largest body in chunks of one byte. */
    CHUNKS_OF_ONE_BYTE {
        @Override
        String text(String start) {
            return start + CHUNKED + body(CrowdKind.MAX_BODY).replaceAll(".", "1\r\n$0\r\n") + "0\r\n\r\n";
        }
    },
    /** Chunks with extensions, and trailers of the largest size. */
    EXTENSIONS_AND_TRAILERS {
        @Override
        String text(String start) {
            return start + CHUNKED + body(1000).replaceAll(".", "1;name=value\r\n$0\r\n") + "0\r\n"
                    + "a:\r\n".repeat(3900) + "\r\n";
        }
    },
    /** A body in two parts, with a pause that is longer than a head may take and shorter than a connection may be idle. */
    SLOW_BODY {
        @Override
        String text(String start) {
            return start + "Content-Length: 20\r\n\r\n" + PAUSE + body(20);
        }
    };

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST = "\r\n0\r\n\r\n";
    private static final String PAUSE = "|";

    /** Longer than the time for a head in the settings of the tests, 5 s; shorter than that for an idle connection, 10 s. */
    private static final long PAUSE_MILLIS = 6500;

    private static final int SOCKET_TIMEOUT_MILLIS = 60_000;

    /** Returns a body of a length that any upstream can read. */
    private static String body(int bytes) {
        return "{}" + " ".repeat(bytes - 2);
    }

    /** Sends the request and returns the beginning of the response. */
    String sendTo(InetSocketAddress address, String start) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            String[] parts = text(start).split("[" + PAUSE + "]");
            write(socket, parts[0]);
            for (int i = 1; i < parts.length; i++) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                write(socket, parts[i]);
            }
            return new String(socket.getInputStream().readNBytes("HTTP/1.1 200".length()), StandardCharsets.US_ASCII);
        }
    }

    abstract String text(String start);

    private static void write(Socket socket, String part) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(part.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
