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
 * Measures the latency that the full path adds: one request of four stages through entry and agents, compared with four
 * sequential calls made directly to the same fakes. The same client alternates between both, so that other load on the
 * machine affects both equally. Run it with {@code java -cp copperspindle.jar} and the name of this class.
 */
public final class PathOverhead {

    private static final int WARM_UP_ROUNDS = 200;
    private static final int MEASURED_ROUNDS = 600;
    private static final long MAX_NANOS = 10_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
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
     * Runs the measurement and prints the result.
     *
     * @param arguments none
     * @throws Exception if a stand-in component fails
     */
    public static void main(String[] arguments) throws Exception {
        Configurator.setRootLevel(Level.ERROR);
        try (StandInDeployment deployment = new StandInDeployment()) {
            new PathOverhead(deployment).run();
        }
        System.exit(0);
    }

    private void run() throws Exception {
        measure(
                WARM_UP_ROUNDS,
                new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS),
                new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS));
        Histogram direct = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
        Histogram fullPath = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
        measure(MEASURED_ROUNDS, direct, fullPath);
        System.out.printf(Locale.ROOT, "requests %d of each kind, one at a time%n", MEASURED_ROUNDS);
        for (double percentile : new double[] {50, 99}) {
            double directMicros = direct.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
            double fullPathMicros = fullPath.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
            System.out.printf(
                    Locale.ROOT,
                    "p%.0f direct %.0f us, whole path %.0f us, added %.0f us, ratio %.2f%n",
                    percentile,
                    directMicros,
                    fullPathMicros,
                    fullPathMicros - directMicros,
                    fullPathMicros / directMicros);
        }
    }

    private void measure(int count, Histogram direct, Histogram fullPath) throws Exception {
        for (int i = 0; i < count; i++) {
            long start = System.nanoTime();
            for (int stage = 0; stage < PATHS.size(); stage++) {
                InetSocketAddress fake = deployment.fakeAddresses().get(stage);
                call("http://127.0.0.1:" + fake.getPort() + PATHS.get(stage));
            }
            long directEnd = System.nanoTime();
            call("http://127.0.0.1:" + deployment.callerPort() + "/v1/pipelines/measured");
            direct.recordValue(directEnd - start);
            fullPath.recordValue(System.nanoTime() - directEnd);
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
