package org.copperspindle.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.sun.net.httpserver.HttpExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Output and exit codes of the evacuate command, with a node that responds like {@code EvacuationEndpoint}.
 */
class EvacuateCommandTest {

    private final List<String> calls = new ArrayList<>();
    private StandInNode node;
    private int status = 200;

    @BeforeEach
    void start() throws IOException {
        node = new StandInNode("/v1/evacuations", this::answer);
    }

    @AfterEach
    void stop() {
        node.close();
    }

    @Test
    void listsEvacuatedFailureDomains() {
        assertThat(run()).isEqualTo(ExitCode.SUCCESS);
        assertThat(node.printed()).isEqualToIgnoringNewLines("gent\nleuven\n");
    }

    @ParameterizedTest
    @CsvSource({"--begin, PUT, evacuated leuven", "--end, DELETE, used again leuven"})
    void beginsAndEndsAnEvacuation(String option, String method, String shown) {
        assertThat(run(option, "leuven")).isEqualTo(ExitCode.SUCCESS);
        assertThat(calls).containsExactly(method + " /v1/evacuations/leuven");
        assertThat(node.printed()).contains(shown);
    }

    /** An invalid failure domain is refused; a node that does not know the outcome leaves it unknown. */
    @ParameterizedTest
    @CsvSource({"400, FAILED", "503, UNKNOWN"})
    void distinguishesARefusalFromAnUnknownOutcome(int responseStatus, ExitCode code) {
        status = responseStatus;
        assertThat(run("--begin", "leuven")).isEqualTo(code);
    }

    @Test
    void outcomeIsUnknownIfNoNodeResponds() {
        node.stop();
        assertThat(run("--end", "leuven")).isEqualTo(ExitCode.UNKNOWN);
    }

    private StandInNode.Reply answer(HttpExchange exchange) {
        String method = exchange.getRequestMethod();
        calls.add(method + ' ' + exchange.getRequestURI().getRawPath());
        String text = switch (method) {
            case "GET" -> "{\"revision\":7,\"evacuated\":[\"gent\",\"leuven\"]}";
            case "PUT" -> "{\"evacuated\":\"leuven\"}";
            default -> "{\"used\":\"leuven\"}";
        };
        return new StandInNode.Reply(status, text);
    }

    private ExitCode run(String... more) {
        return node.run("evacuate", more);
    }
}
