package org.copperspindle.capacity;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;

/**
 * Measures what one request and one streamed token cost an entry and the agents: CPU time as a function of the number
 * of requests in a batch, and of the number of tokens in the responses.
 */
final class RequestProbe implements CapacityProbe {

    private static final int[] REQUEST_COUNTS = {250, 500, 1000, 2000};
    private static final int[] TOKEN_COUNTS = {16, 64, 128, 256};
    private static final int WARM_UP_REQUESTS = 2000;
    private static final int STREAMS = 200;
    private static final int MAX_IN_FLIGHT = 16;
    private static final double NANOS_PER_MICRO = 1000;

    private final HttpClient http = HttpClient.newHttpClient();

    @Override
    public String name() {
        return "requests";
    }

    @Override
    public List<CapacitySlope> measure(ProbeProgress progress) throws Exception {
        try (StandInDeployment deployment = new StandInDeployment()) {
            progress.step("warming up with " + WARM_UP_REQUESTS + " requests");
            sendAll(deployment, WARM_UP_REQUESTS, false, 1);
            List<CapacitySlope> slopes = new ArrayList<>(measureRequests(deployment, progress));
            slopes.addAll(measureTokens(deployment, progress));
            return slopes;
        }
    }

    private List<CapacitySlope> measureRequests(StandInDeployment deployment, ProbeProgress progress) throws Exception {
        List<CapacitySlope.Point> entry = new ArrayList<>();
        List<CapacitySlope.Point> agents = new ArrayList<>();
        for (int requests : REQUEST_COUNTS) {
            progress.step(requests + " requests of four stages");
            ThreadCpuMeter entryCpu = ThreadCpuMeter.ofProcess(StandInDeployment.ENTRY_ID);
            ThreadCpuMeter agentCpu = ThreadCpuMeter.ofProcess(StandInDeployment.AGENT_ID_PREFIX);
            entryCpu.start();
            agentCpu.start();
            sendAll(deployment, requests, false, 1);
            entry.add(new CapacitySlope.Point(requests, entryCpu.stop() / NANOS_PER_MICRO));
            agents.add(new CapacitySlope.Point(requests, agentCpu.stop() / NANOS_PER_MICRO));
        }
        return List.of(
                new CapacitySlope("entry, processor time of four-stage requests", "requests", "us", entry),
                new CapacitySlope("four agents together, processor time", "requests", "us", agents));
    }

    private List<CapacitySlope> measureTokens(StandInDeployment deployment, ProbeProgress progress) throws Exception {
        List<CapacitySlope.Point> entry = new ArrayList<>();
        List<CapacitySlope.Point> agents = new ArrayList<>();
        for (int tokens : TOKEN_COUNTS) {
            progress.step(STREAMS + " streamed answers of " + tokens + " tokens");
            ThreadCpuMeter entryCpu = ThreadCpuMeter.ofProcess(StandInDeployment.ENTRY_ID);
            ThreadCpuMeter agentCpu = ThreadCpuMeter.ofProcess(StandInDeployment.AGENT_ID_PREFIX);
            entryCpu.start();
            agentCpu.start();
            sendAll(deployment, STREAMS, true, tokens);
            double total = (double) tokens * STREAMS;
            entry.add(new CapacitySlope.Point(total, entryCpu.stop() / NANOS_PER_MICRO));
            agents.add(new CapacitySlope.Point(total, agentCpu.stop() / NANOS_PER_MICRO));
        }
        return List.of(
                new CapacitySlope("entry, processor time of streamed tokens", "tokens", "us", entry),
                new CapacitySlope("agents, processor time of streamed tokens", "tokens", "us", agents));
    }

    private void sendAll(StandInDeployment deployment, int count, boolean stream, int tokens) throws Exception {
        Semaphore inFlight = new Semaphore(MAX_IN_FLIGHT);
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        String input = "{\"input\":\"measured\",\"max_tokens\":" + tokens + "}";
        URI uri = URI.create("http://127.0.0.1:" + deployment.callerPort() + "/v1/pipelines/measured");
        for (int i = 0; i < count; i++) {
            inFlight.acquire();
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .header("Authorization", "Bearer " + StandInDeployment.BEARER)
                    .header("Content-Type", "application/json")
                    .header("Accept", stream ? "text/event-stream" : "application/json")
                    .timeout(Duration.ofSeconds(30))
                    .POST(HttpRequest.BodyPublishers.ofString(input))
                    .build();
            answers.add(http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                    .whenComplete((response, failure) -> inFlight.release())
                    .thenAccept(RequestProbe::check));
        }
        for (CompletableFuture<Void> answer : answers) {
            answer.get();
        }
    }

    private static void check(HttpResponse<String> response) {
        if (response.statusCode() != 200) {
            throw new IllegalStateException("a measured request failed: " + response.body());
        }
    }
}
