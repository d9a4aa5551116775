package org.copperspindle.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/**
 * Asks nodes at their operators' addresses. Where a node names another one that can answer, that one is asked.
 */
final class NodeClient {

    private final Duration timeout;
    private final HttpClient http;

    /**
     * Creates a client.
     *
     * @param timeout longest wait for one node
     */
    NodeClient(Duration timeout) {
        this.timeout = timeout;
        this.http = HttpClient.newBuilder()
                .connectTimeout(timeout)
                .followRedirects(HttpClient.Redirect.NORMAL)
                .build();
    }

    /**
     * Sends a request without a body. Why there is no answer goes to the standard error stream.
     *
     * @param target IP:PORT of the node
     * @param method HTTP method
     * @param path   what is asked for
     * @return the answer, whatever its status; empty if none came
     * @throws InterruptedException if the wait is interrupted
     */
    Optional<HttpResponse<byte[]>> ask(String target, String method, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target + path))
                .timeout(timeout)
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        try {
            return Optional.of(http.send(request, HttpResponse.BodyHandlers.ofByteArray()));
        } catch (IOException e) {
            System.err.println(target + ": " + e);
            return Optional.empty();
        }
    }
}
