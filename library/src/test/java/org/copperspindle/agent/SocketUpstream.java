package org.copperspindle.agent;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.copperspindle.emulator.ExecutionLedger;

/** An upstream at socket level, so that a test can break a response at any byte. Counts calls by attempt. */
final class SocketUpstream implements AutoCloseable {

    private final ServerSocket server;
    private final Script script;
    private final ExecutionLedger ledger = new ExecutionLedger();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();

    SocketUpstream(Script script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
    }

    static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static void send(Socket socket, String bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Closes the connection with a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    ExecutionLedger ledger() {
        return ledger;
    }

    int connections() {
        return connections.get();
    }

    /** Returns the number of accepted connections, including those on which nothing was sent. */
    int accepted() {
        return sockets.size();
    }

    /** Fails like a crashed process: the port and all connections are closed. */
    void fail() throws IOException {
        close();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            sockets.add(socket);
            thread(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int call = 0; !socket.isClosed(); call++) {
            Map<String, String> request = read(in);
            if (request.isEmpty()) {
                return;
            }
            if (call == 0) {
                connections.incrementAndGet();
            }
            if (!request.get(":path").equals("/health")) {
                ledger.ran(request.get("idempotency-key"));
            }
            script.answer(socket, request, call);
        }
    }

    private static Map<String, String> read(InputStream in) throws IOException {
        Map<String, String> request = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (request.isEmpty()) {
                request.put(":path", line.split(" ")[1]);
            } else if (colon > 0) {
                request.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
        }
        in.readNBytes(Integer.parseInt(request.getOrDefault("content-length", "0")));
        return request;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static void thread(Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The peer closed the connection; the test checks the consequences.
                        Thread.currentThread().interrupt();
                    }
                },
                "socket-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    /** Handles calls. */
    interface Script {

        /** Responds to one call; {@code call} counts the calls of this connection from 0. */
        void answer(Socket socket, Map<String, String> request, int call) throws IOException;
    }

    private interface Task {
        void run() throws IOException;
    }
}
