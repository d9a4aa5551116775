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
 * The operator of the demonstration: applies whole deployment texts over HTTP.
 */
final class ConfigClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int NOT_THE_LEADER = 307;
    private static final int UNAVAILABLE = 503;
    private static final int TRIES = 50;
    private static final long PAUSE_MILLIS = 100;

    private final List<InetSocketAddress> controls;
    private final HttpClient http = HttpClient.newHttpClient();

    ConfigClient(List<InetSocketAddress> controls) {
        this.controls = controls;
    }

    /** Returns the new version once it is in force everywhere. Members that don't lead are passed over. */
    long apply(String text, long base, String change) throws IOException, InterruptedException {
        String answer = "";
        for (int i = 0; i < TRIES; i++) {
            InetSocketAddress control = controls.get(i % controls.size());
            try {
                HttpResponse<String> response = http.send(request(control, text, base, change), bodyOfString());
                if (response.statusCode() == OK) {
                    return DemoCall.JSON
                            .readTree(response.body())
                            .path("version")
                            .asLong();
                }
                answer = response.body();
                if (response.statusCode() != NOT_THE_LEADER && response.statusCode() != UNAVAILABLE) {
                    break;
                }
            } catch (ConnectException e) {
                answer = e.toString();
            }
            // Not started, or no leader yet: the same change id makes a second sending harmless.
            pause();
        }
        throw new IOException("the configuration was not accepted: " + answer);
    }

    private static void pause() throws InterruptedException {
        new CountDownLatch(1).await(PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static HttpResponse.BodyHandler<String> bodyOfString() {
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
