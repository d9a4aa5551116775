package org.copperspindle.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What an operator sees of evacuations, from a node that answers as {@code EvacuationCalls} does.
 */
class EvacuateCommandTest {

    private final PrintStream before = System.out;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final List<String> calls = new ArrayList<>();
    private HttpServer node;
    private int status = 200;

    @BeforeEach
    void start() throws IOException {
        node = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        node.createContext("/v1/evacuations", exchange -> {
            String method = exchange.getRequestMethod();
            calls.add(method + ' ' + exchange.getRequestURI().getRawPath());
            String text = switch (method) {
                case "GET" -> "{\"revision\":7,\"evacuated\":[\"gent\",\"leuven\"]}";
                case "PUT" -> "{\"evacuated\":\"leuven\"}";
                default -> "{\"used\":\"leuven\"}";
            };
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        node.start();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void stop() {
        System.setOut(before);
        node.stop(0);
    }

    @Test
    void listsWhatIsEvacuated() {
        assertThat(run()).isEqualTo(ExitCode.SUCCESS);
        assertThat(out.toString(StandardCharsets.UTF_8)).isEqualToIgnoringNewLines("gent\nleuven\n");
    }

    @ParameterizedTest
    @CsvSource({"--begin, PUT, evacuated leuven", "--end, DELETE, used again leuven"})
    void givesOrders(String option, String method, String shown) {
        assertThat(run(option, "leuven")).isEqualTo(ExitCode.SUCCESS);
        assertThat(calls).containsExactly(method + " /v1/evacuations/leuven");
        assertThat(out.toString(StandardCharsets.UTF_8)).contains(shown);
    }

    /** A name that is none, and a node that can't say how the order ended: the operator must tell one from the other. */
    @ParameterizedTest
    @CsvSource({"400, FAILED", "503, UNKNOWN"})
    void tellsARefusalFromAnUnclearAnswer(int answered, ExitCode code) {
        status = answered;
        assertThat(run("--begin", "leuven")).isEqualTo(code);
    }

    @Test
    void nobodyAnswers() {
        node.stop(0);
        assertThat(run("--end", "leuven")).isEqualTo(ExitCode.UNKNOWN);
    }

    private ExitCode run(String... more) {
        List<String> arguments = new ArrayList<>(List.of(
                "evacuate", "--control", "127.0.0.1:" + node.getAddress().getPort()));
        arguments.addAll(List.of(more));
        return Copperspindle.run(arguments.toArray(String[]::new));
    }
}
