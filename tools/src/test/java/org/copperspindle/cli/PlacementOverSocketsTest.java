package org.copperspindle.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model placement over real sockets with a control member, an agent and an engine: a missing model is loaded by
 * an order with a fencing number.
 */
class PlacementOverSocketsTest {

    private static final String DEPLOYMENT = """
            [deployment]
            name = placed
            failure-domains = north

            [pool engines]
            kind = engine
            size = 1
            models = llm-1, llm-2@7

            [placement engines]
            copies = llm-1:1, llm-2@7:1
            slots = 2

            [weight-store]
            loads-per-second = 10
            """;

    @TempDir
    private Path folder;

    private final BlockingQueue<LoadCall> loads = new LinkedBlockingQueue<>();
    private HttpServer engine;
    private CopperspindleProcess control;
    private CopperspindleProcess agent;

    private record LoadCall(long header, JsonNode body) {}

    @BeforeEach
    void start() throws Exception {
        engine = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        engine.createContext("/admin/load", this::load);
        engine.start();
        control = process("[process]\nid = control-1\nfailure-domain = north\nlisten = 127.0.0.1:0\n"
                + "[control]\nlisten = 127.0.0.1:0\nvoters = control-1@127.0.0.1:0\ndata-folder = "
                + folder.resolve("data") + "\n");
        agent = startAgent();
        Path file = Files.writeString(folder.resolve("placed.ini"), DEPLOYMENT);
        String[] apply = {
            "apply", file.toString(), "--base", "0", "--change-id", "c1", "--operator", "ann", "--control", operators()
        };
        ExitCode applied = Copperspindle.run(apply);
        for (int i = 0; i < 1000 && applied != ExitCode.SUCCESS; i++) {
            // No leader yet; the change id makes the retry idempotent.
            applied = Copperspindle.run(apply);
        }
        assertThat(applied).isEqualTo(ExitCode.SUCCESS);
    }

    @AfterEach
    void stop() throws Exception {
        agent.stop();
        control.stop();
        engine.stop(0);
    }

    /**
     * A model of the placement is not loaded. The engine receives one order with a fencing number in header and body,
     * the agent announces the model, and the audit trail records the order and its outcome. The agent then restarts
     * without its state: it requests the current number, and the next order has a higher one.
     */
    @Test
    void missingModelIsLoadedByAnOrderWithAFencingNumber() throws Exception {
        LoadCall first = loads.poll(60, TimeUnit.SECONDS);
        assertThat(first.body().path("model").asText()).isEqualTo("llm-2");
        assertThat(first.body().path("version").asText()).isEqualTo("7");
        assertThat(first.header())
                .isPositive()
                .isEqualTo(first.body().path("fencing_number").asLong());
        assertThat(awaitAudit("order", "ended DONE")).anyMatch(l -> l.contains("placed LOAD_MODEL llm-2@7"));
        assertThat(awaitAudit("membership", "models=llm-1,llm-2@7")).isNotEmpty();
        assertThat(loads).isEmpty();

        agent.stop();
        agent = startAgent();

        LoadCall second = loads.poll(60, TimeUnit.SECONDS);
        assertThat(second.header()).isGreaterThan(first.header());
    }

    private void load(HttpExchange exchange) throws IOException {
        long header = Long.parseLong(exchange.getRequestHeaders().getFirst("Copperspindle-Fencing-Number"));
        loads.add(new LoadCall(header, new ObjectMapper().readTree(exchange.getRequestBody())));
        exchange.sendResponseHeaders(200, -1);
        exchange.close();
    }

    private CopperspindleProcess startAgent() throws SettingsException {
        return process("[process]\nid = agent-1\nfailure-domain = north\nlisten = 127.0.0.1:0\nrenew = 100ms\n"
                + "controls = 127.0.0.1:" + control.wireAddress().getPort()
                + "\n[agent]\nupstream-id = engine-1\npool = engines\nmodels = llm-1\nupstream = 127.0.0.1:"
                + engine.getAddress().getPort() + "\n");
    }

    private static CopperspindleProcess process(String settings) throws SettingsException {
        return CopperspindleProcess.start(ProcessSettings.read(SettingsFile.parse("process", settings)));
    }

    private String operators() {
        return "127.0.0.1:" + control.operatorAddress().orElseThrow().getPort();
    }

    /** Reads the audit trail until a line contains the words. */
    private List<String> awaitAudit(String kind, String words) {
        List<String> lines = List.of();
        for (int i = 0; i < 2000 && lines.stream().noneMatch(l -> l.contains(words)); i++) {
            PrintStream original = System.out;
            ByteArrayOutputStream captured = new ByteArrayOutputStream();
            System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
            try {
                Copperspindle.run(new String[] {"audit", "--control", operators(), "--kind", kind});
            } finally {
                System.setOut(original);
            }
            lines = captured.toString(StandardCharsets.UTF_8).lines().toList();
        }
        assertThat(lines).anyMatch(l -> l.contains(words));
        return lines;
    }
}
