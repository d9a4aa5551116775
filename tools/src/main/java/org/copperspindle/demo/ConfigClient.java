package org.copperspindle.demo;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Applies deployment texts over HTTP, as an operator would.
 */
final class ConfigClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int NOT_THE_LEADER = 307;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_ATTEMPTS = 50;
    private static final long RETRY_DELAY_MILLIS = 100;

    private final List<InetSocketAddress> controls;
    private final HttpClient http = HttpClient.newHttpClient();

    ConfigClient(List<InetSocketAddress> controls) {
        this.controls = controls;
    }

    /** Returns the new version once it is in force everywhere. Members that are not the leader are skipped. */
    long apply(String text, long base, String change) throws IOException, InterruptedException {
        String lastProblem = "";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            InetSocketAddress control = controls.get(i % controls.size());
            try {
                HttpResponse<String> response = http.send(request(control, text, base, change), bodyAsString());
                if (response.statusCode() == OK) {
                    return DemoCall.JSON
                            .readTree(response.body())
                            .path("version")
                            .asLong();
                }
                lastProblem = response.body();
                if (response.statusCode() != NOT_THE_LEADER && response.statusCode() != UNAVAILABLE) {
                    break;
                }
            } catch (ConnectException e) {
                lastProblem = e.toString();
            }
            // The member has not started or there is no leader yet. The change id makes the request idempotent.
            delayRetry();
        }
        throw new IOException("the configuration was not accepted: " + lastProblem);
    }

    private static void delayRetry() throws InterruptedException {
        new CountDownLatch(1).await(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static HttpResponse.BodyHandler<String> bodyAsString() {
        return HttpResponse.BodyHandlers.ofString();
    }

    private static HttpRequest request(InetSocketAddress control, String text, long base, String change) {
        URI uri = URI.create("http://127.0.0.1:" + control.getPort() + "/v1/config?base=" + base + "&change=" + change
                + "&operator=demo&file=demo");
        return HttpRequest.newBuilder(uri)
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(text))
                .build();
    }
}
