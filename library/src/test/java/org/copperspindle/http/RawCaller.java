package org.copperspindle.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/**
 * A test client that sends raw bytes.
 */
final class RawCaller implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;

    RawCaller(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    RawCaller send(String text) throws IOException {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    RawCaller send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** Reads until the received text ends with the given one; fails if the connection closes first. */
    String readUntil(String text) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        while (!read.toString(StandardCharsets.ISO_8859_1).endsWith(text)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("ended after: " + read);
            }
            read.write(next);
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads until the server closes the connection. */
    String readToEnd() throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(read);
        } catch (SocketException e) {
            // a reset is an end too
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
