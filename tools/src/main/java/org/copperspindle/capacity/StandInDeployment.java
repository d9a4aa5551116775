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
 * One control member, one entry, four agents with quick fakes: the shortest whole path.
 */
final class StandInDeployment implements AutoCloseable {

    /** Identity of the entry, found in its threads' names. */
    static final String ENTRY = "measured-entry";

    /** Start of the agents' identities. */
    static final String AGENT = "measured-agent";

    /** Bearer key of the one client account. */
    static final String BEARER = "measure";

    private static final String RESOURCE = "/org/copperspindle/capacity/measured.ini";
    private static final int CONCURRENCY = 64;
    private static final int MAX_TOKENS = 4096;
    private static final Duration PER_TOKEN = Duration.ofMillis(2);
    private static final Duration READY_LIMIT = Duration.ofSeconds(30);

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
                "id = " + ENTRY,
                "failure-domain = north",
                "listen = 127.0.0.1:0",
                "controls = " + controls(),
                "[entry]",
                "listen = 127.0.0.1:0"));
        apply();
        Await.until("the entry to serve", READY_LIMIT, entry::ready);
        Await.until("a first whole answer", READY_LIMIT, this::answers);
    }

    int callerPort() {
        return entry.callerAddress().orElseThrow().getPort();
    }

    /** Addresses of the fakes, in the order of the stages. */
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
        // Tokens are paced as engines pace them, if faster: tokens that come at once would share frames and cost less.
        FakeSettings settings = new FakeSettings(
                kind, new InetSocketAddress("127.0.0.1", 0), CONCURRENCY, Duration.ZERO, PER_TOKEN, MAX_TOKENS, false);
        FakeUpstream fake = new FakeUpstream(settings, new ExecutionLedger());
        fakes.add(fake);
        start(String.join(
                "\n",
                "[process]",
                "id = " + AGENT + "-" + pool,
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
        byte[] file = Objects.requireNonNull(getClass().getResourceAsStream(RESOURCE), RESOURCE)
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

    private boolean answers() {
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
