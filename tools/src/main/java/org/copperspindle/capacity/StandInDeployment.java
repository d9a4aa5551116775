package org.copperspindle.capacity;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.FakeSettings;
import org.copperspindle.emulator.FakeUpstream;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;

/**
 * The smallest complete deployment for measurements: one control member, one entry, and four agents with fast fakes.
 */
final class StandInDeployment implements AutoCloseable {

    /** Process id of the entry, part of the names of its threads. */
    static final String ENTRY_ID = "measured-entry";

    /** Prefix of the process ids of the agents. */
    static final String AGENT_ID_PREFIX = "measured-agent";

    /** Bearer key of the one client account. */
    static final String BEARER = "measure";

    private static final String DEPLOYMENT_RESOURCE = "/org/copperspindle/capacity/measured.ini";
    private static final int CONCURRENCY = 64;
    private static final int MAX_TOKENS = 4096;
    private static final Duration PER_TOKEN = Duration.ofMillis(2);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

    private final StandInControl control;
    private final List<FakeUpstream> fakes = new ArrayList<>();
    private final List<CopperspindleProcess> processes = new ArrayList<>();
    private final CopperspindleProcess entry;

    StandInDeployment() throws Exception {
        this.control = new StandInControl("10s");
        startAgent(FakeKind.ENCODER, "encoders");
        startAgent(FakeKind.RETRIEVER, "retrievers");
        startAgent(FakeKind.RERANKER, "rerankers");
        startAgent(FakeKind.ENGINE, "engines");
        this.entry = start(String.join(
                "\n",
                "[process]",
                "id = " + ENTRY_ID,
                "failure-domain = north",
                "listen = 127.0.0.1:0",
                "controls = " + controls(),
                "[entry]",
                "listen = 127.0.0.1:0"));
        apply();
        Await.until("the entry to serve", READY_TIMEOUT, entry::ready);
        Await.until("a first whole answer", READY_TIMEOUT, this::servesRequests);
    }

    int callerPort() {
        return entry.callerAddress().orElseThrow().getPort();
    }

    /** Returns the addresses of the fakes, in stage order. */
    List<InetSocketAddress> fakeAddresses() {
        return fakes.stream().map(FakeUpstream::address).toList();
    }

    @Override
    public void close() {
        processes.forEach(CopperspindleProcess::kill);
        fakes.forEach(FakeUpstream::close);
        control.close();
    }

    private void startAgent(FakeKind kind, String pool) throws SettingsException {
        // Tokens are paced as by an engine, only faster: a burst of tokens would share frames and cost less.
        FakeSettings settings = new FakeSettings(
                kind, new InetSocketAddress("127.0.0.1", 0), CONCURRENCY, Duration.ZERO, PER_TOKEN, MAX_TOKENS, false);
        FakeUpstream fake = new FakeUpstream(settings, new ExecutionLedger());
        fakes.add(fake);
        start(String.join(
                "\n",
                "[process]",
                "id = " + AGENT_ID_PREFIX + "-" + pool,
                "failure-domain = north",
                "listen = 127.0.0.1:0",
                "controls = " + controls(),
                "[agent]",
                "upstream-id = " + pool + "-1",
                "pool = " + pool,
                "upstream = 127.0.0.1:" + fake.address().getPort(),
                "models = measured-model"));
    }

    private CopperspindleProcess start(String settings) throws SettingsException {
        CopperspindleProcess process =
                CopperspindleProcess.start(ProcessSettings.read(SettingsFile.parse("measure", settings)));
        processes.add(process);
        return process;
    }

    private String controls() {
        InetSocketAddress address = control.wireAddresses().get(0);
        return "127.0.0.1:" + address.getPort();
    }

    private void apply() throws IOException, InterruptedException {
        byte[] file = Objects.requireNonNull(getClass().getResourceAsStream(DEPLOYMENT_RESOURCE), DEPLOYMENT_RESOURCE)
                .readAllBytes();
        URI uri = URI.create("http://127.0.0.1:" + control.operatorAddress().getPort()
                + "/v1/config?base=0&change=measure&operator=measure");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofByteArray(file))
                .build();
        HttpResponse<String> response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        if (response.statusCode() != 200) {
            throw new IOException("the measured deployment was not accepted: " + response.body());
        }
    }

    private boolean servesRequests() {
        URI uri = URI.create("http://127.0.0.1:" + callerPort() + "/v1/pipelines/measured");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer " + BEARER)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString("{\"input\":\"x\"}"))
                .build();
        try {
            return HttpClient.newHttpClient()
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
