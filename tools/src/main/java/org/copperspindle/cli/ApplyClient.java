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
 * Sends a change to control members in turn until one answers for certain or the time is over. Resending is safe: the
 * change id makes each resend get the first answer. Only where no request can have reached a member that leads does it
 * say that the change was refused without an answer; otherwise the outcome is unknown.
 */
final class ApplyClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long PAUSE_MILLIS = 200;
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
    private boolean mayBeTaken;
    private String last = "no control member answered";

    /**
     * Creates a client for one change.
     *
     * @param controls addresses of control members
     * @param query    query that names the change
     * @param text     the whole INI text
     * @param timeout  time for the answer
     */
    ApplyClient(List<String> controls, String query, byte[] text, Duration timeout) {
        this.controls = controls;
        this.query = query;
        this.text = text;
        this.deadline = System.nanoTime() + timeout.toNanos();
    }

    /**
     * The answer for the operator.
     *
     * @param code exit code
     * @param body JSON
     */
    record Answer(ExitCode code, String body) {}

    Answer send() throws InterruptedException {
        for (int turn = 0; left().toMillis() > 0; turn++) {
            String target = leader.orElse(controls.get(turn % controls.size()));
            boolean pointed = leader.isPresent();
            leader = Optional.empty();
            Optional<Answer> answer = ask(target);
            if (answer.isPresent()) {
                return answer.get();
            }
            if (pointed || leader.isEmpty()) {
                pause();
            }
        }
        ExitCode code = mayBeTaken ? ExitCode.UNKNOWN : ExitCode.FAILED;
        String outcome = mayBeTaken ? "unknown" : "refused";
        return new Answer(
                code,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("outcome", outcome)
                        .put("reason", "no certain answer in time; the last one: " + last)
                        .toString());
    }

    private Optional<Answer> ask(String target) throws InterruptedException {
        URI uri = URI.create("http://" + target + "/v1/config?" + query + "&wait-ms=" + left().toMillis());
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(left().plus(CONNECT_TIMEOUT))
                .POST(HttpRequest.BodyPublishers.ofByteArray(text))
                .build();
        try {
            return judge(http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8)));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            last = target + ": not reached";
        } catch (IOException e) {
            // The request may have been read before the connection broke.
            mayBeTaken = true;
            last = target + ": " + e;
        }
        return Optional.empty();
    }

    private Optional<Answer> judge(HttpResponse<String> response) {
        last = response.body();
        switch (response.statusCode()) {
            case OK:
                return Optional.of(new Answer(ExitCode.SUCCESS, response.body()));
            case CONFLICT:
                return Optional.of(new Answer(ExitCode.FAILED, response.body()));
            case BAD_REQUEST, TOO_LARGE, UNPROCESSABLE:
                // This member refuses before it looks for an earlier answer, so it can't speak for an earlier request.
                return Optional.of(new Answer(mayBeTaken ? ExitCode.UNKNOWN : ExitCode.FAILED, response.body()));
            case REDIRECT:
                leader = response.headers()
                        .firstValue("Location")
                        .map(l -> URI.create(l).getAuthority());
                return Optional.empty();
            case UNAVAILABLE:
                return Optional.empty();
            default:
                mayBeTaken = true;
                return Optional.empty();
        }
    }

    private Duration left() {
        return Duration.ofNanos(Math.max(0, deadline - System.nanoTime()));
    }

    private static void pause() {
        CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS))
                .join();
    }
}
