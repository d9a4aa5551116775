package org.copperspindle.benchmarks;

import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimShards;
import org.copperspindle.claims.ClaimTable;

/**
 * What a claim costs: the same service called with and without one, on whole paths over loopback with three voters that
 * sync to disk; and the bytes that the claim table keeps. Run with a folder on the disk to be measured.
 */
public final class ClaimCost {

    private static final int WARM_UP = 2000;
    private static final int CALLS = 4000;
    private static final int ROUNDS = 3;
    private static final int[] IN_FLIGHT = {1, 8, 32};
    private static final int TABLE_CLAIMS = 50_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SPANS = 20;
    private static final long SPAN_MILLIS = Duration.ofHours(1).toMillis();

    private final HttpClient http = HttpClient.newHttpClient();
    private final ClaimDeployment deployment;
    private long nextKey;

    private ClaimCost(ClaimDeployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Runs the measurement.
     *
     * @param args folder for the control members' data
     * @throws Exception if the deployment does not start or a call fails
     */
    public static void main(String[] args) throws Exception {
        Path data = Files.createTempDirectory(Path.of(args[0]), "claims");
        measureTable();
        try (ClaimDeployment deployment = new ClaimDeployment(data, Duration.ZERO)) {
            new ClaimCost(deployment).run();
        }
        // The HTTP client's own threads would hold the process.
        System.exit(0);
    }

    private void run() throws Exception {
        call("lookup", WARM_UP, 32);
        call("install", WARM_UP, 32);
        System.out.println("in flight, service, round, median us, p99 us, calls per second");
        for (int inFlight : IN_FLIGHT) {
            for (int round = 1; round <= ROUNDS; round++) {
                print("lookup", inFlight, round);
                print("install", inFlight, round);
            }
        }
    }

    private void print(String service, int inFlight, int round) throws Exception {
        long start = System.nanoTime();
        Histogram took = call(service, CALLS, inFlight);
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf(
                "%d, %s, %d, %d, %d, %.0f%n",
                inFlight,
                service,
                round,
                took.getValueAtPercentile(50),
                took.getValueAtPercentile(99),
                CALLS / seconds);
    }

    private Histogram call(String service, int calls, int inFlight) throws Exception {
        ConcurrentHistogram took = new ConcurrentHistogram((long) (60 * MICROS_PER_SECOND), 3);
        Semaphore free = new Semaphore(inFlight);
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            free.acquire();
            long start = System.nanoTime();
            answers.add(http.sendAsync(
                            deployment.request(service, "key" + nextKey++), HttpResponse.BodyHandlers.ofString())
                    .whenComplete((response, failure) -> free.release())
                    .thenAccept(response -> {
                        took.recordValue((System.nanoTime() - start) / 1000);
                        if (response.statusCode() != 200) {
                            throw new IllegalStateException(response.body());
                        }
                    }));
        }
        for (CompletableFuture<Void> answer : answers) {
            answer.get();
        }
        return took;
    }

    private static void measureTable() {
        long empty = used();
        ClaimTable table = new ClaimTable();
        for (int i = 0; i < TABLE_CLAIMS; i++) {
            table.claim(request(i), 0);
        }
        long full = used();
        System.out.printf("claims held: %d, %.0f bytes each%n", table.size(), (double) (full - empty) / table.size());
        System.out.printf("snapshot: %.0f bytes each%n", (double) table.snapshot().length / table.size());
        for (int span = 1; span <= SPANS; span++) {
            // Claims that have run out become refused keys; the next span's late claims close the one before.
            for (int i = 0; i < TABLE_CLAIMS; i++) {
                table.claim(request(span * TABLE_CLAIMS + i), span * SPAN_MILLIS);
            }
        }
        long refused = used() - full;
        System.out.printf(
                "refused keys: %d, %.0f bytes each, beside as many claims as before: %d%n",
                table.refusedKeys(), (double) refused / table.refusedKeys(), table.size());
    }

    private static ClaimRequestMessage request(int number) {
        String key = "0e2f6c1a-5b7d-4c3e-9a1f-" + String.format("%012d", number);
        return new ClaimRequestMessage(
                number,
                new String("gallery"),
                key,
                new String("install/install"),
                key + "/install/1",
                new String("gallery-1"),
                new byte[32],
                1,
                1,
                ClaimShards.of("gallery", key));
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
