package org.copperspindle.cli;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * {@code copperspindle held}: requests that nodes hold off because upstreams ended under them, and lifting such a hold.
 */
final class HeldCommand implements Command {

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PATH = "/v1/held-requests";
    private static final long MILLIS_PER_SECOND = 1000;
    private static final int NOT_FOUND = 404;

    private final NodeClient nodes = new NodeClient(TIMEOUT);

    @Override
    public String name() {
        return "held";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("show or lift holds on requests that end upstreams")
                .description(
                        "Lists the requests that nodes hold off because upstreams ended each time they ran them, with"
                                + " route, client account and the upstreams, or lets one run again at all nodes. Exit code 0: done;"
                                + " 1: no node answered, or no such request is suspected.")
                .epilog("Example: copperspindle held --control 127.0.0.1:8082 --lift 0123456789abcdef0123456789abcdef");
        parser.addArgument("--lift").metavar("DIGEST").help("the request that may run again");
        ControlAddresses.declare(parser);
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        Optional<String> lifted = Optional.ofNullable(arguments.getString("lift"));
        for (String target : ControlAddresses.of(arguments)) {
            Optional<HttpResponse<byte[]>> answer = ask(target, lifted);
            if (answer.isPresent()) {
                return show(answer.get(), lifted);
            }
        }
        System.err.println("no node answered");
        return ExitCode.FAILED;
    }

    private Optional<HttpResponse<byte[]>> ask(String target, Optional<String> lifted) throws InterruptedException {
        return lifted.isPresent()
                ? nodes.ask(target, "DELETE", PATH + '/' + lifted.get())
                : nodes.ask(target, "GET", PATH);
    }

    private static ExitCode show(HttpResponse<byte[]> answer, Optional<String> lifted) throws IOException {
        if (answer.statusCode() == NOT_FOUND) {
            System.err.println("not suspected: " + lifted.orElse(""));
            return ExitCode.FAILED;
        }
        JsonNode body = MAPPER.readTree(answer.body());
        if (lifted.isPresent()) {
            System.out.println("lifted " + lifted.get());
        }
        for (JsonNode held : body.path("held")) {
            System.out.printf(
                    "digest=%s route=%s account=%s since_s=%d left_s=%d upstreams=%s%n",
                    held.path("digest").asText(),
                    held.path("route").asText(),
                    held.path("account").asText(),
                    held.path("since_ms").asLong() / MILLIS_PER_SECOND,
                    held.path("left_ms").asLong() / MILLIS_PER_SECOND,
                    held.path("upstreams"));
        }
        return ExitCode.SUCCESS;
    }
}
