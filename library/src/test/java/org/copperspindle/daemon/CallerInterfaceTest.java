package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.Property;
import org.copperspindle.entry.EntrySettings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the HTTP endpoints of a process that has not got a lease from control and therefore doesn't serve requests.
 */
class CallerInterfaceTest {

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final InetSocketAddress UNREACHABLE = new InetSocketAddress("127.0.0.1", 1);
    private static final String SECRET = "s3cret-bearer";

    private static CopperspindleProcess process;
    private final HttpClient http = HttpClient.newHttpClient();

    @BeforeAll
    static void start() {
        EntrySettings entry = new EntrySettings(ANY, "north", Duration.ofSeconds(1), 10, 1 << 16, Duration.ZERO);
        process = CopperspindleProcess.start(new ProcessSettings(
                "entry-1",
                "north",
                ANY,
                List.of(UNREACHABLE),
                Optional.of(entry),
                Optional.empty(),
                Optional.empty(),
                Optional.of(ANY)));
    }

    @AfterAll
    static void stop() {
        process.kill();
    }

    @ParameterizedTest(name = "{5}")
    @CsvSource(
            delimiter = '|',
            value = {
                "POST | /v1/pipelines/p | Content-Type: text/plain                 | {}      | 415 | media-type",
                "POST | /v1/pipelines/p | Content-Type: application/json           | {       | 400 | not-json",
                "POST | /v1/pipelines/p | Content-Type: application/json           | {} {}   | 400 | not-json",
                "POST | /v1/pipelines/p | Content-Type: application/json           | [1]     | 400 | not-json",
                "POST | /v1/pipelines/p | Accept: image/png                        | {}      | 406 | not-acceptable",
                "POST | /v1/pipelines/p | Accept: application/json;q=0             | {}      | 406 | not-acceptable",
                "POST | /v1/pipelines/p | Copperspindle-Deadline-Ms: soon          | {}      | 400 | bad-request",
                "POST | /v1/pipelines/p | Copperspindle-Priority: urgent           | {}      | 400 | bad-request",
                "POST | /v1/pipelines/p | Idempotency-Key: a b                     | {}      | 400 | bad-request",
                "GET  | /v1/pipelines/p | Accept: */*                              | {}      | 405 | method",
                "POST | /v2/pipelines/p | Accept: */*                              | {}      | 404 | unknown-path",
                "POST | /metrics        | Accept: */*                              | {}      | 405 | method",
                "POST | /v1/pipelines/p | Content-Type: application/json;charset=utf-8 | {}  | 503 | not-serving",
                "POST | /v1/pipelines/p | Accept: text/html, */*;q=0.1             | {}      | 503 | not-serving",
                "POST | /v1/services/s  | Content-Type: text/plain                 | hello   | 503 | not-serving"
            })
    void refusalsCarryTypeAndVerdict(String method, String path, String field, String body, int status, String reason)
            throws Exception {
        String[] header = field.split(": ", 2);
        HttpResponse<String> response = send(HttpRequest.newBuilder(uri(process.callerAddress(), path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .header(header[0], header[1]));

        assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
        assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
        assertThat(response.headers().firstValue("Copperspindle-Verdict")).hasValue("NOT_RUN");
        assertThat(response.body())
                .contains("\"type\":\"urn:copperspindle:problem:" + reason + "\"", "\"verdict\":\"NOT_RUN\"");
    }

    /**
     * A caller resends an idempotency key with a header field that the entry refuses. The first request with the key
     * may have run; NOT_RUN would let the caller retry with a new key and run the work twice. A body that no entry
     * accepts can't have run.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Copperspindle-Deadline-Ms: soon | {} | 400 | bad-request    | MAY_HAVE_RUN",
                "Accept: image/png               | {} | 406 | not-acceptable | MAY_HAVE_RUN",
                "Accept: application/json        | {} | 503 | not-serving    | MAY_HAVE_RUN",
                "Accept: application/json        | {  | 400 | not-json       | NOT_RUN"
            })
    void refusedKeyMayHaveRunBefore(String field, String body, int status, String reason, String verdict)
            throws Exception {
        String[] header = field.split(": ", 2);
        HttpResponse<String> response = send(HttpRequest.newBuilder(uri(process.callerAddress(), "/v1/pipelines/p"))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .header("Idempotency-Key", "k")
                .header(header[0], header[1]));

        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("Copperspindle-Verdict")).hasValue(verdict);
        assertThat(response.body()).contains("problem:" + reason + "\"");
        assertThat(response.body().contains("same key")).isEqualTo(verdict.equals("MAY_HAVE_RUN"));
    }

    @Test
    void everyEndpointHasProbesAndMetrics() throws Exception {
        for (Optional<InetSocketAddress> endpoint : List.of(process.callerAddress(), process.metricsAddress())) {
            assertThat(send(HttpRequest.newBuilder(uri(endpoint, "/livez"))).statusCode())
                    .isEqualTo(200);
            assertThat(send(HttpRequest.newBuilder(uri(endpoint, "/readyz"))).statusCode())
                    .isEqualTo(503);
            assertThat(send(HttpRequest.newBuilder(uri(endpoint, "/metrics"))).body())
                    .contains("copperspindle_ready 0.0", "copperspindle_lease_held 0.0", "copperspindle_ring_depth");
        }
    }

    /** A caller's API key must not get into a log file, which more people can read than may use the account. */
    @Test
    void bearerIsNeverLogged() throws Exception {
        Queue<String> lines = new ConcurrentLinkedQueue<>();
        Appender appender = new AbstractAppender("captured", null, null, true, Property.EMPTY_ARRAY) {
            @Override
            public void append(LogEvent event) {
                lines.add(event.getMessage().getFormattedMessage());
            }
        };
        appender.start();
        Logger root = (Logger) LogManager.getRootLogger();
        Level before = root.getLevel();
        root.addAppender(appender);
        Configurator.setRootLevel(Level.DEBUG);
        try {
            send(HttpRequest.newBuilder(uri(process.callerAddress(), "/v1/pipelines/p%0Aevent=forged"))
                    .header("Authorization", "Bearer " + SECRET)
                    .POST(HttpRequest.BodyPublishers.ofString("{}")));
        } finally {
            Configurator.setRootLevel(before);
            root.removeAppender(appender);
        }
        assertThat(lines).anyMatch(line -> line.startsWith("event=access"));
        assertThat(lines).noneMatch(line -> line.contains(SECRET) || line.contains("forged"));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static URI uri(Optional<InetSocketAddress> address, String path) {
        return URI.create("http://127.0.0.1:" + address.orElseThrow().getPort() + path);
    }
}
