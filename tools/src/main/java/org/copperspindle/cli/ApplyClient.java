package org.copperspindle.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * Sends a configuration change to the control members in turn until one gives a definite response or the timeout
 * expires. Retries are idempotent: a member answers a repeated change id with the response to the first request. If the
 * timeout expires, the outcome is "refused" only if no request can have reached the leader; otherwise it is "unknown".
 */
final class ApplyClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final int OK = 200;
    private static final int REDIRECT = 307;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final List<String> controls;
    private final String query;
    private final byte[] text;
    private final long deadline;
    private Optional<String> leader = Optional.empty();
    private boolean mayHaveBeenApplied;
    private String lastProblem = "no control member answered";

    /**
     * Creates a client for one change.
     *
     * @param controls addresses of control members
     * @param query    URL query with the change id, base version and operator
     * @param text     complete INI text of the deployment file
     * @param timeout  time limit over all retries
     */
    ApplyClient(List<String> controls, String query, byte[] text, Duration timeout) {
        this.controls = controls;
        this.query = query;
        this.text = text;
        this.deadline = System.nanoTime() + timeout.toNanos();
    }

    /**
     * Outcome of the change as reported to the operator.
     *
     * @param code exit code of the command
     * @param body JSON text to print
     */
    record ApplyResult(ExitCode code, String body) {}

    ApplyResult send() throws InterruptedException {
        for (int attempt = 0; remaining().toMillis() > 0; attempt++) {
            String target = leader.orElse(controls.get(attempt % controls.size()));
            boolean redirected = leader.isPresent();
            leader = Optional.empty();
            Optional<ApplyResult> result = sendTo(target);
            if (result.isPresent()) {
                return result.get();
            }
            if (redirected || leader.isEmpty()) {
                delayRetry();
            }
        }
        ExitCode code = mayHaveBeenApplied ? ExitCode.UNKNOWN : ExitCode.FAILED;
        String outcome = mayHaveBeenApplied ? "unknown" : "refused";
        return new ApplyResult(
                code,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("outcome", outcome)
                        .put("reason", "no certain answer in time; the last one: " + lastProblem)
                        .toString());
    }

    private Optional<ApplyResult> sendTo(String target) throws InterruptedException {
        URI uri = URI.create("http://" + target + "/v1/config?" + query + "&wait-ms="
                + remaining().toMillis());
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(remaining().plus(CONNECT_TIMEOUT))
                .POST(HttpRequest.BodyPublishers.ofByteArray(text))
                .build();
        try {
            return interpret(http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8)));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            lastProblem = target + ": not reached";
        } catch (IOException e) {
            // The member may have read the request before the connection failed.
            mayHaveBeenApplied = true;
            lastProblem = target + ": " + e;
        }
        return Optional.empty();
    }

    private Optional<ApplyResult> interpret(HttpResponse<String> response) {
        lastProblem = response.body();
        switch (response.statusCode()) {
            case OK:
                return Optional.of(new ApplyResult(ExitCode.SUCCESS, response.body()));
            case CONFLICT:
                return Optional.of(new ApplyResult(ExitCode.FAILED, response.body()));
            case BAD_REQUEST, TOO_LARGE, UNPROCESSABLE:
                // The member validates before it looks up the change id, so this says nothing about an earlier request.
                return Optional.of(
                        new ApplyResult(mayHaveBeenApplied ? ExitCode.UNKNOWN : ExitCode.FAILED, response.body()));
            case REDIRECT:
                leader = response.headers()
                        .firstValue("Location")
                        .map(l -> URI.create(l).getAuthority());
                return Optional.empty();
            case UNAVAILABLE:
                return Optional.empty();
            default:
                mayHaveBeenApplied = true;
                return Optional.empty();
        }
    }

    private Duration remaining() {
        return Duration.ofNanos(Math.max(0, deadline - System.nanoTime()));
    }

    private static void delayRetry() {
        CompletableFuture.runAsync(
                        () -> {}, CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS))
                .join();
    }
}
