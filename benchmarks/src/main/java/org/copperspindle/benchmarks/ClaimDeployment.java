package org.copperspindle.benchmarks;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.FakeUpstream;
import org.copperspindle.loopback.LoopbackHost;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.copperspindle.wire.NumericAddress;

/**
 * Three control members with disks, one entry and one agent with a quick service, in this process over loopback. The
 * service can be called as a repeatable and as an unrepeatable one, so that the difference is the claim.
 */
final class ClaimDeployment implements AutoCloseable {

    private static final int VOTERS = 3;
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final int CHANGES = 200;
    private static final long PAUSE_NANOS = 50_000_000;
    private static final String CONFIGURATION = """
            [deployment]
            name = claims
            failure-domains = north
            [pool gallery]
            kind = service
            size = 1
            concurrency = 4000
            [service install]
            pool = gallery
            repeatable = false
            deadline = 60s
            [service lookup]
            pool = gallery
            deadline = 60s
            [account gallery]
            key-sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
            rate-per-second = 1000000
            max-deadline = 60s
            pipelines = install, lookup
            """;

    private final List<CopperspindleProcess> processes = new ArrayList<>();
    private final FakeUpstream fake;
    private final CopperspindleProcess entry;

    /**
     * Starts everything and waits until a first call of each kind is answered.
     *
     * @param data    folder of the control members
     * @param service time that one call takes
     */
    ClaimDeployment(Path data, Duration service) throws IOException, SettingsException, InterruptedException {
        LoopbackHost host = LoopbackHost.open();
        List<String> voters = new ArrayList<>();
        List<String> controls = new ArrayList<>();
        for (int i = 0; i < VOTERS; i++) {
            String address = NumericAddress.format(host.nextAddress());
            voters.add("control-" + i + "@" + address);
            controls.add(address);
        }
        String members = String.join(", ", controls);
        List<CopperspindleProcess> operators = new ArrayList<>();
        for (int i = 0; i < VOTERS; i++) {
            operators.add(start(
                    "control-" + i,
                    controls.get(i),
                    members,
                    "[control]\nlisten = 127.0.0.1:0\ndata-folder = " + data.resolve("c" + i) + "\nvoters = "
                            + String.join(", ", voters)));
        }
        fake = new FakeUpstream(FakeKind.SERVICE, service, new ExecutionLedger());
        start(
                "agent",
                ANY_PORT,
                members,
                "[agent]\nupstream-id = g1\npool = gallery\nupstream = 127.0.0.1:"
                        + fake.address().getPort());
        entry = start("entry", ANY_PORT, members, "[entry]\nlisten = 127.0.0.1:0\nmax-in-progress = 4000");
        apply(operators);
        await("install");
        await("lookup");
    }

    InetSocketAddress callers() {
        return entry.callerAddress().orElseThrow();
    }

    HttpRequest request(String service, String key) {
        URI uri = URI.create("http://127.0.0.1:" + callers().getPort() + "/v1/services/" + service);
        return HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer secret")
                .header("Content-Type", "application/json")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"token\":\"" + key + "\"}"))
                .build();
    }

    @Override
    public void close() {
        processes.forEach(CopperspindleProcess::kill);
        fake.close();
    }

    private CopperspindleProcess start(String id, String listen, String controls, String role)
            throws SettingsException {
        String text = "[process]\nid = " + id + "\nfailure-domain = north\nlisten = " + listen + "\ncontrols = "
                + controls + "\n\n" + role + "\n";
        CopperspindleProcess process = CopperspindleProcess.start(ProcessSettings.read(SettingsFile.parse(id, text)));
        processes.add(process);
        return process;
    }

    private void apply(List<CopperspindleProcess> operators) throws IOException, InterruptedException {
        HttpClient http = HttpClient.newHttpClient();
        for (int i = 0; i < CHANGES; i++) {
            InetSocketAddress address =
                    operators.get(i % VOTERS).operatorAddress().orElseThrow();
            URI uri = URI.create("http://127.0.0.1:" + address.getPort() + "/v1/config?base=0&change=c&operator=bench");
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .POST(HttpRequest.BodyPublishers.ofString(CONFIGURATION))
                    .build();
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() == 200) {
                return;
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        throw new IOException("the configuration was not accepted");
    }

    private void await(String service) throws IOException, InterruptedException {
        HttpClient http = HttpClient.newHttpClient();
        for (int i = 0; i < CHANGES; i++) {
            HttpRequest request = request(service, "await-" + service + i);
            if (http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200) {
                return;
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        throw new IOException("no answer of " + service);
    }
}
