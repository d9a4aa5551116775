package org.copperspindle.emulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * An upstream on a raw socket whose answers are written byte by byte by a script, so that it can break every rule of the
 * protocol. It keeps what it got.
 */
public final class ScriptedUpstream implements AutoCloseable {

    private static final int BACKLOG = 50;

    private final List<ScriptedRequest> received = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final AtomicInteger number = new AtomicInteger();
    private final ServerSocket server;
    private final Thread acceptor;
    private volatile Script script;
    private volatile boolean readsBodies = true;

    /**
     * Starts to listen on a free port of loopback.
     *
     * @param script what it answers
     */
    public ScriptedUpstream(Script script) {
        this(script, new InetSocketAddress("127.0.0.1", 0));
    }

    /**
     * Starts to listen.
     *
     * @param script  what it answers
     * @param address where it listens
     */
    public ScriptedUpstream(Script script, InetSocketAddress address) {
        this.script = script;
        try {
            this.server = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        this.acceptor = daemon(this::accept, "scripted-upstream");
        acceptor.start();
    }

    /**
     * Answers by another script from now on.
     *
     * @param next the script
     */
    public void follow(Script next) {
        script = next;
    }

    /** Answers, from now on, when the head of a request has arrived, and leaves its body unread. */
    public void leaveBodiesUnread() {
        readsBodies = false;
    }

    /**
     * Ends, from now on, by each request with a certain body: stops to listen and breaks all connections.
     *
     * @param fatal     the body
     * @param moment    when it ends
     * @param otherwise answers all other requests
     */
    public void crashOn(String fatal, CrashMoment moment, Script otherwise) {
        crashOn(request -> request.body().equals(fatal), moment, otherwise);
    }

    /**
     * Ends, from now on, by each request of a kind: stops to listen and breaks all connections.
     *
     * @param fatal     whether a request ends it
     * @param moment    when it ends
     * @param otherwise answers all other requests
     */
    public void crashOn(Predicate<ScriptedRequest> fatal, CrashMoment moment, Script otherwise) {
        follow((n, request, connection, out) -> {
            if (!fatal.test(request)) {
                otherwise.answer(n, request, connection, out);
                return;
            }
            if (moment == CrashMoment.IN_THE_STREAM) {
                String begun = ScriptedStream.head(request)
                        + ScriptedStream.chunk("id: 1\ndata: e\n\n")
                        + ScriptedStream.chunk("id: 2\ndata: e\n\n");
                out.write(begun.getBytes(StandardCharsets.ISO_8859_1));
            }
            close();
        });
    }

    /**
     * Says whether it has ended.
     *
     * @return true once nothing listens at its address
     */
    public boolean hasCrashed() {
        return server.isClosed();
    }

    /**
     * Returns where it listens.
     *
     * @return IP:PORT
     */
    public String address() {
        return server.getInetAddress().getHostAddress() + ':' + server.getLocalPort();
    }

    /**
     * Returns what it got.
     *
     * @return all requests in the order in which they were read
     */
    public List<ScriptedRequest> received() {
        return received;
    }

    /**
     * Returns how many connections it accepted.
     *
     * @return a count
     */
    public int connections() {
        return connections.size();
    }

    @Override
    public void close() {
        try {
            server.close();
            awaitEndOfListening();
            for (Socket connection : connections) {
                connection.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Waits until the kernel accepts no more connections. A thread that waits in {@code accept} keeps the listening
     * socket alive for a moment after its close: a caller whose connection is closed before that moment has passed
     * could connect again, to a process that should be gone.
     */
    private void awaitEndOfListening() {
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                connections.add(connection);
                daemon(() -> serve(connection), "scripted-connection").start();
            } catch (IOException e) {
                // Closed; there is nobody to tell.
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                ScriptedRequest request = read(line, in);
                received.add(request);
                script.answer(number.incrementAndGet(), request, connection, connection.getOutputStream());
            }
        } catch (IOException e) {
            // The caller closed the connection, or the script did: either is what a test wants to see at the other end.
            return;
        }
    }

    private ScriptedRequest read(String line, BufferedReader in) throws IOException {
        Map<String, String> fields = new HashMap<>();
        for (String field = in.readLine(); field != null && !field.isEmpty(); field = in.readLine()) {
            int colon = field.indexOf(':');
            fields.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        int bodyLength = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        char[] body = new char[readsBodies ? bodyLength : 0];
        int length = 0;
        while (length < body.length) {
            int count = in.read(body, length, body.length - length);
            if (count < 0) {
                throw new IOException("request cut off");
            }
            length += count;
        }
        String[] words = line.split(" ");
        return new ScriptedRequest(words[0], words[1], fields, new String(body));
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** What an upstream does. */
    @FunctionalInterface
    public interface Script {
        /**
         * Answers a request.
         *
         * @param number     1 for the first request of the upstream
         * @param request    the request
         * @param connection its connection
         * @param out        where the answer goes
         * @throws IOException if the connection is gone
         */
        void answer(int number, ScriptedRequest request, Socket connection, OutputStream out) throws IOException;
    }
}
