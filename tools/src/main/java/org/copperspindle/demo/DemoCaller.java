package org.copperspindle.demo;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.StageSettings;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.SentCalls;
import org.copperspindle.pipeline.StageHandlerFactory;

/**
 * Sends calls over HTTP/1.1 and checks the responses.
 */
final class DemoCaller {

    /** Wait beyond the deadline, after which a response counts as missing: the system must respond by the deadline. */
    private static final Duration RESPONSE_GRACE_PERIOD = Duration.ofSeconds(5);

    private final Deployment deployment;
    private final SentCalls sent = new SentCalls();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    DemoCaller(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Returns what was sent so far, with the answers to it. */
    SentCalls sent() {
        return sent;
    }

    CompletableFuture<DemoAnswer> send(DemoCall call, InetSocketAddress entry) {
        URI uri = URI.create("http://127.0.0.1:" + entry.getPort() + call.path());
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(call.pipeline().deadline().plus(RESPONSE_GRACE_PERIOD))
                .header("Authorization", "Bearer " + call.bearer())
                .header("Idempotency-Key", call.key())
                .header("Accept", call.trace().stream() ? "text/event-stream" : "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(call.body()))
                .build();
        sent.sends(call.sent(paths(call.pipeline())));
        long start = System.nanoTime();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8))
                .handle((response, failure) -> {
                    Duration latency = Duration.ofNanos(System.nanoTime() - start);
                    DemoAnswer answer = failure == null
                            ? DemoAnswer.of(call, response, latency)
                            : DemoAnswer.none(call, failure, latency);
                    sent.answered(call.token(), answer.requestId());
                    return answer;
                });
    }

    /** Returns the paths that upstreams may get for a pipeline, by their interface. */
    private Map<FakeKind, Set<String>> paths(PipelineSettings pipeline) {
        Map<FakeKind, Set<String>> paths = new EnumMap<>(FakeKind.class);
        for (StageSettings stage : pipeline.stages()) {
            PoolKind kind = deployment.pool(stage.pool()).orElseThrow().kind();
            String path = StageHandlerFactory.of(kind).path(stage);
            paths.computeIfAbsent(FakeKind.valueOf(kind.name()), k -> new HashSet<>())
                    .add(path);
        }
        return paths;
    }
}
