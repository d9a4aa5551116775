package org.copperspindle.benchmarks;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/**
 * Applies configurations one after the other.
 */
final class OperatorClient {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final HttpClient http = HttpClient.newHttpClient();
    private final InetSocketAddress control;

    OperatorClient(InetSocketAddress control) {
        this.control = control;
    }

    void apply(long base, byte[] text) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + control.getPort() + "/v1/config?base=" + base + "&change=c" + base
                + "&operator=measurement");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofByteArray(text))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        while (response.statusCode() == UNAVAILABLE) {
            response = http.send(request, HttpResponse.BodyHandlers.ofString());
        }
        if (response.statusCode() != OK) {
            throw new IOException("not accepted: " + response.body());
        }
    }
}
