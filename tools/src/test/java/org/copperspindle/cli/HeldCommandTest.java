package org.copperspindle.cli;

import java.io.IOException;

import com.sun.net.httpserver.HttpExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Output and exit codes of the held command, with a node that responds like
 * {@code QuarantinedRequestsEndpoint}.
 */
class HeldCommandTest {

    private static final String LIST =
            "{\"held\":[{\"digest\":\"0f\",\"part\":\"5c1e\",\"route\":\"r\",\"account\":\"t\",\"since_ms\":4000,"
                    + "\"left_ms\":56000,\"upstreams\":[\"u1\",\"u2\"]}]}";

    private StandInNode node;

    @BeforeEach
    void start() throws IOException {
        node = new StandInNode("/v1/held-requests", HeldCommandTest::answer);
    }

    @AfterEach
    void stop() {
        node.close();
    }

    @Test
    void listsQuarantinedRequests() {
        assertThat(run()).isEqualTo(ExitCode.SUCCESS);
        assertThat(node.printed())
                .contains("digest=0f part=5c1e route=r account=t since_s=4 left_s=56 upstreams=[\"u1\",\"u2\"]");
    }

    @ParameterizedTest
    @CsvSource({"0f, SUCCESS", "aa, FAILED"})
    void releasesARequest(String digest, ExitCode code) {
        assertThat(run("--lift", digest)).isEqualTo(code);
    }

    @Test
    void failsIfNoNodeResponds() {
        node.stop();
        assertThat(run()).isEqualTo(ExitCode.FAILED);
    }

    private static StandInNode.Reply answer(HttpExchange exchange) {
        boolean lists = exchange.getRequestMethod().equals("GET");
        boolean known = lists || exchange.getRequestURI().getPath().endsWith("/0f");
        return new StandInNode.Reply(known ? 200 : 404, lists ? LIST : "{}");
    }

    private ExitCode run(String... more) {
        return node.run("held", more);
    }
}
