package org.copperspindle.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What an operator sees of requests that are held off, from a node that answers as {@code HeldRequestCalls} does.
 */
class HeldCommandTest {

    private static final String LIST =
            "{\"held\":[{\"digest\":\"0f\",\"route\":\"r\",\"account\":\"t\",\"since_ms\":4000,"
                    + "\"left_ms\":56000,\"upstreams\":[\"u1\",\"u2\"]}]}";

    private final PrintStream before = System.out;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private HttpServer node;

    @BeforeEach
    void start() throws IOException {
        node = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        node.createContext("/v1/held-requests", exchange -> {
            boolean lists = exchange.getRequestMethod().equals("GET");
            boolean known = lists || exchange.getRequestURI().getPath().endsWith("/0f");
            byte[] body = (lists ? LIST : "{}").getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(known ? 200 : 404, body.length);
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
    void listsWhatIsHeldOff() {
        assertThat(run()).isEqualTo(ExitCode.SUCCESS);
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("digest=0f route=r account=t since_s=4 left_s=56 upstreams=[\"u1\",\"u2\"]");
    }

    @ParameterizedTest
    @CsvSource({"0f, SUCCESS", "aa, FAILED"})
    void liftsOne(String digest, ExitCode code) {
        assertThat(run("--lift", digest)).isEqualTo(code);
    }

    @Test
    void nobodyAnswers() {
        node.stop(0);
        assertThat(run()).isEqualTo(ExitCode.FAILED);
    }

    private ExitCode run(String... more) {
        String address = "127.0.0.1:" + node.getAddress().getPort();
        String[] arguments = new String[3 + more.length];
        arguments[0] = "held";
        arguments[1] = "--control";
        arguments[2] = address;
        System.arraycopy(more, 0, arguments, 3, more.length);
        return Copperspindle.run(arguments);
    }
}
