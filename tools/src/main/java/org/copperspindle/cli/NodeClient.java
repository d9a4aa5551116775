package org.copperspindle.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/**
 * HTTP client for the operator addresses of nodes. Follows redirects to the node that can handle the request.
 */
final class NodeClient {

    private final Duration timeout;
    private final HttpClient http;

    /**
     * Creates a client.
     *
     * @param timeout time limit for each request
     */
    NodeClient(Duration timeout) {
        this.timeout = timeout;
        this.http = HttpClient.newBuilder()
                .connectTimeout(timeout)
                .followRedirects(HttpClient.Redirect.NORMAL)
                .build();
    }

    /**
     * Sends a request without a body. If it fails, prints the cause to the standard error stream.
     *
     * @param target IP:PORT of the node
     * @param method HTTP method
     * @param path   path of the URL
     * @return the response with any status; empty if there was none
     * @throws InterruptedException if the wait is interrupted
     */
    Optional<HttpResponse<byte[]>> send(String target, String method, String path) throws InterruptedException {
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
