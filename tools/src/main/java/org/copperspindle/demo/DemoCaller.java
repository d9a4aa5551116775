package org.copperspindle.demo;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends calls over HTTP/1.1 and checks the responses.
 */
final class DemoCaller {

    /** Wait beyond the deadline, after which a response counts as missing: the system must respond by the deadline. */
    private static final Duration RESPONSE_GRACE_PERIOD = Duration.ofSeconds(5);

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    CompletableFuture<DemoAnswer> send(DemoCall call, InetSocketAddress entry) {
        URI uri = URI.create("http://127.0.0.1:" + entry.getPort() + call.path());
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(call.pipeline().deadline().plus(RESPONSE_GRACE_PERIOD))
                .header("Authorization", "Bearer " + call.bearer())
                .header("Idempotency-Key", call.key())
                .header("Accept", call.trace().stream() ? "text/event-stream" : "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(call.body()))
                .build();
        long start = System.nanoTime();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
                .handle((response, failure) -> {
                    Duration latency = Duration.ofNanos(System.nanoTime() - start);
                    return failure == null
                            ? DemoAnswer.of(call, response, latency)
                            : DemoAnswer.none(call, failure, latency);
                });
    }
}
