package org.copperspindle.direct;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upstream on a raw socket that answers each request with given bytes, so that it can break every rule of the protocol.
 */
final class ScriptedUpstream implements AutoCloseable {

    final List<String> received = new CopyOnWriteArrayList<>();
    final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Script script;

    ScriptedUpstream(Script script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "scripted-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                connections.add(connection);
                Thread thread = new Thread(() -> serve(connection), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                // closed by the test
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String first = line;
                int length = 0;
                for (String field = in.readLine(); !field.isEmpty(); field = in.readLine()) {
                    if (field.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(
                                field.substring(field.indexOf(':') + 1).trim());
                    }
                }
                for (int i = 0; i < length; i++) {
                    in.read();
                }
                received.add(first);
                script.answer(received.size(), connection, connection.getOutputStream());
            }
        } catch (IOException e) {
            // The other side closed, or the script did.
            received.add("closed");
        }
    }

    /** What the upstream does. */
    @FunctionalInterface
    interface Script {
        /**
         * Answers a request.
         *
         * @param number     1 for the first request
         * @param connection its connection
         * @param out        where the answer goes
         * @throws IOException if the connection is gone
         */
        void answer(int number, Socket connection, OutputStream out) throws IOException;
    }
}
