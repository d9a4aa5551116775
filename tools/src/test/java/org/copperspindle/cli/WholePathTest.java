package org.copperspindle.cli;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;

import org.copperspindle.agent.AgentSettings;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.FakeUpstream;
import org.copperspindle.entry.EntrySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests from a caller through all stages and back, over real sockets.
 */
class WholePathTest {

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final Duration RENEW = Duration.ofMillis(100);

    private static final long POLL_NANOS = 1_000_000;

    @TempDir
    private Path data;

    private final ExecutionLedger ledger = new ExecutionLedger();
    private final List<FakeUpstream> fakes = new ArrayList<>();
    private final List<CopperspindleProcess> processes = new ArrayList<>();
    private final HttpClient http = HttpClient.newHttpClient();
    private CopperspindleProcess first;
    private CopperspindleProcess second;

    @BeforeEach
    void startDeployment() throws Exception {
        CopperspindleProcess control = start(new ProcessSettings(
                "control-1",
                "north",
                ANY,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(new ProcessSettings.ControlSettings(ANY, data, Duration.ofSeconds(5)))));
        List<InetSocketAddress> controls = List.of(control.wireAddress());
        startAgent(FakeKind.ENCODER, "encoders", List.of("enc-1"), controls);
        startAgent(FakeKind.RETRIEVER, "retrievers", List.of(), controls);
        startAgent(FakeKind.RERANKER, "rerankers", List.of("rank-1"), controls);
        startAgent(FakeKind.ENGINE, "engines", List.of("llm-1"), controls);
        startAgent(FakeKind.SERVICE, "gallery", List.of(), controls);
        first = startEntry("entry-1", controls);
        second = startEntry("entry-2", controls);
        InetSocketAddress operators = control.operatorAddress().orElseThrow();
        String file = Path.of(WholePathTest.class.getResource("/whole-path.ini").toURI())
                .toString();
        assertThat(Copperspindle.run(new String[] {
                    "apply",
                    file,
                    "--base",
                    "0",
                    "--change-id",
                    "c1",
                    "--operator",
                    "test",
                    "--control",
                    "127.0.0.1:" + operators.getPort()
                }))
                .isEqualTo(ExitCode.SUCCESS);
        awaitReady(first);
        awaitReady(second);
        awaitService(first);
        awaitService(second);
    }

    /** Waits for an entry: one that joined while the file was applied may not have the configuration yet. */
    private static void awaitReady(CopperspindleProcess entry) {
        long deadline = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!entry.ready() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        assertThat(entry.ready()).isTrue();
    }

    /**
     * Retries until a call of each kind succeeds. An accepted configuration is in force at the members that have
     * joined; agents may still be joining, and an entry that knows no upstream yet refuses with a correct verdict.
     */
    private void awaitService(CopperspindleProcess entry) throws Exception {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        for (String path : List.of("pipelines/describe", "services/install")) {
            HttpResponse<String> response = call(entry, path, "{\"input\":\"x\"}", "warm" + System.nanoTime(), false);
            while (response.statusCode() != 200) {
                // A pipeline whose later pool has no known upstream yet has run its first stages: verdict RAN.
                String[] correctVerdicts =
                        path.startsWith("services") ? new String[] {"NOT_RUN"} : new String[] {"NOT_RUN", "RAN"};
                assertThat(response.headers()
                                .firstValue("Copperspindle-Verdict")
                                .orElse(""))
                        .isIn((Object[]) correctVerdicts);
                assertThat(System.nanoTime()).as(response.body()).isLessThan(end);
                response = call(entry, path, "{\"input\":\"x\"}", "warm" + System.nanoTime(), false);
            }
        }
    }

    @AfterEach
    void stopDeployment() throws Exception {
        for (int i = processes.size() - 1; i >= 0; i--) {
            processes.get(i).stop();
        }
        fakes.forEach(FakeUpstream::close);
    }

    @Test
    void callerReceivesItsCompleteAnswer() throws Exception {
        HttpResponse<String> response = call(first, "pipelines/describe", "{\"input\":\"face 17\"}", "k1", false);

        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        assertThat(response.body()).contains("echo: face 17");
        assertThat(response.headers().firstValue("Copperspindle-Verdict")).hasValue("RAN");
    }

    @Test
    void callerReceivesAStreamedAnswer() throws Exception {
        HttpResponse<String> response = call(second, "pipelines/describe", "{\"input\":\"face 18\"}", "k2", true);

        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        assertThat(response.body()).contains("{\"text\":\"face \"}").contains("event: end");
    }

    /**
     * The caller loses the response to an install and resends the request through the other entry. The second entry
     * finds the claim of the first and returns the outcome stored by the agent: one execution, two equal responses.
     */
    @Test
    void resentInstallRunsOnce() throws Exception {
        HttpResponse<String> original = call(first, "services/install", "{\"token\":\"w1\"}", "k3", false);
        HttpResponse<String> resent = call(second, "services/install", "{\"token\":\"w1\"}", "k3", false);

        assertThat(original.statusCode()).as(original.body()).isEqualTo(200);
        assertThat(resent.body()).isEqualTo(original.body());
        assertThat(ledger.count("w1")).isEqualTo(1);
    }

    private HttpResponse<String> call(CopperspindleProcess entry, String path, String body, String key, boolean stream)
            throws Exception {
        URI uri = URI.create(
                "http://127.0.0.1:" + entry.callerAddress().orElseThrow().getPort() + "/v1/" + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer secret")
                .header("Idempotency-Key", key)
                .header("Accept", stream ? "text/event-stream" : "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    }

    private void startAgent(FakeKind kind, String pool, List<String> models, List<InetSocketAddress> controls) {
        FakeUpstream fake = new FakeUpstream(kind, Duration.ofMillis(2), ledger);
        fakes.add(fake);
        start(new ProcessSettings(
                "agent-" + pool,
                "north",
                ANY,
                controls,
                Optional.empty(),
                Optional.of(new AgentSettings(pool + "-1", pool, "north", fake.address(), models, RENEW)),
                Optional.empty()));
    }

    private CopperspindleProcess startEntry(String id, List<InetSocketAddress> controls) {
        return start(new ProcessSettings(
                id,
                "north",
                ANY,
                controls,
                Optional.of(new EntrySettings(ANY, "north", RENEW, 100, 1 << 20, Duration.ZERO)),
                Optional.empty(),
                Optional.empty()));
    }

    private CopperspindleProcess start(ProcessSettings settings) {
        CopperspindleProcess process = CopperspindleProcess.start(settings);
        processes.add(process);
        return process;
    }
}
