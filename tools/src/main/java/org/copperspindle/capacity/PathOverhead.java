package org.copperspindle.capacity;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Locale;

import org.HdrHistogram.Histogram;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/**
 * What the whole path adds to a caller's wait: one request of four stages through entry and agents, against the four
 * calls made directly to the same fakes one after another. Both are made in turn, by the same client, so that the
 * machine's other load falls on both. Run it with {@code java -cp copperspindle.jar} and this class's name.
 */
public final class PathOverhead {

    private static final int WARM_UP = 200;
    private static final int MEASURED = 600;
    private static final long MAX_NANOS = 10_000_000_000L;
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MICRO = 1000;
    private static final String BODY = "{\"input\":\"measured\",\"prompt\":\"measured\",\"max_tokens\":1}";
    private static final List<String> PATHS = List.of("/v1/embeddings", "/retrieve", "/rerank", "/v1/completions");

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final StandInDeployment deployment;

    private PathOverhead(StandInDeployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Measures and prints.
     *
     * @param arguments none
     * @throws Exception if a stand-in fails
     */
    public static void main(String[] arguments) throws Exception {
        Configurator.setRootLevel(Level.ERROR);
        try (StandInDeployment deployment = new StandInDeployment()) {
            new PathOverhead(deployment).run();
        }
        System.exit(0);
    }

    private void run() throws Exception {
        measure(WARM_UP, new Histogram(MAX_NANOS, DIGITS), new Histogram(MAX_NANOS, DIGITS));
        Histogram direct = new Histogram(MAX_NANOS, DIGITS);
        Histogram whole = new Histogram(MAX_NANOS, DIGITS);
        measure(MEASURED, direct, whole);
        System.out.printf(Locale.ROOT, "requests %d of each kind, one at a time%n", MEASURED);
        for (double percentile : new double[] {50, 99}) {
            double d = direct.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
            double w = whole.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
            System.out.printf(
                    Locale.ROOT,
                    "p%.0f direct %.0f us, whole path %.0f us, added %.0f us, ratio %.2f%n",
                    percentile,
                    d,
                    w,
                    w - d,
                    w / d);
        }
    }

    private void measure(int count, Histogram direct, Histogram whole) throws Exception {
        for (int i = 0; i < count; i++) {
            long start = System.nanoTime();
            for (int stage = 0; stage < PATHS.size(); stage++) {
                InetSocketAddress fake = deployment.fakeAddresses().get(stage);
                call("http://127.0.0.1:" + fake.getPort() + PATHS.get(stage));
            }
            long between = System.nanoTime();
            call("http://127.0.0.1:" + deployment.callerPort() + "/v1/pipelines/measured");
            direct.recordValue(between - start);
            whole.recordValue(System.nanoTime() - between);
        }
    }

    private void call(String uri) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                .header("Authorization", "Bearer " + StandInDeployment.BEARER)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(BODY))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 200) {
            throw new IllegalStateException("a measured call failed: " + response.body());
        }
    }
}
