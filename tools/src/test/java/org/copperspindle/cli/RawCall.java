package org.copperspindle.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BooleanSupplier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * One ordinary call on a connection of its own, and waiting for what must come.
 */
final class RawCall {

    /** Generous, since every wait ends as soon as its condition holds. */
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(60).toNanos();

    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;

    private RawCall() {}

    /** Sends a request and returns the whole response; empty if there is none. */
    static String send(InetSocketAddress address, String head, String body) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            String request = head + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            // Not accepted, or closed without a response.
            return "";
        }
    }

    /** Sends a request until it is answered with 200; fails at once if the process ends. */
    static void untilServed(String what, DaemonProcess process, InetSocketAddress address, String head, String body) {
        until(what, process, () -> send(address, head, body).startsWith("HTTP/1.1 200"));
    }

    /** Waits until a condition holds; fails at once if the process ends. */
    static void until(String what, DaemonProcess process, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(process.isAlive()).as(what + ": the process has ended").isTrue();
            assertThat(System.nanoTime()).as(what).isLessThan(deadline);
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
