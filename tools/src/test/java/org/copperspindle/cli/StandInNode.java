package org.copperspindle.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Simulates the operator endpoint of a node with responses that a test defines, and captures the output of commands.
 */
final class StandInNode implements AutoCloseable {

    private final PrintStream originalOut = System.out;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final HttpServer server;

    /**
     * Starts the server.
     *
     * @param path    path to serve
     * @param answers returns the response to each request
     */
    StandInNode(String path, Function<HttpExchange, Reply> answers) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext(path, exchange -> {
            Reply reply = answers.apply(exchange);
            byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(reply.status(), body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    }

    /** Runs a command against this node. */
    ExitCode run(String command, String... more) {
        List<String> arguments = new ArrayList<>(
                List.of(command, "--control", "127.0.0.1:" + server.getAddress().getPort()));
        arguments.addAll(List.of(more));
        return Copperspindle.run(arguments.toArray(String[]::new));
    }

    /** Returns the standard output since the start. */
    String printed() {
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Stops responding. */
    void stop() {
        server.stop(0);
    }

    @Override
    public void close() {
        System.setOut(originalOut);
        stop();
    }

    /**
     * An HTTP response.
     *
     * @param status HTTP status
     * @param body   JSON
     */
    record Reply(int status, String body) {}
}
