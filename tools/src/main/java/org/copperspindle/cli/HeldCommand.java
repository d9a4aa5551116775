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
 * {@code copperspindle held}: lists the requests that nodes keep in quarantine because upstreams crashed while
 * running them, or releases one of them.
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
        parser.help("list or release quarantined requests")
                .description(
                        "Lists the requests that nodes quarantine because upstreams crashed each time they ran them, with"
                                + " route, client account and the upstreams, or releases one at all nodes. Exit code 0: done;"
                                + " 1: no node responded, or the request is not under suspicion.")
                .epilog("Example: copperspindle held --control 127.0.0.1:8082 --lift 0123456789abcdef0123456789abcdef");
        parser.addArgument("--lift").metavar("DIGEST").help("digest of the request to release");
        ControlAddresses.declare(parser);
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        Optional<String> digestToRelease = Optional.ofNullable(arguments.getString("lift"));
        for (String target : ControlAddresses.of(arguments)) {
            Optional<HttpResponse<byte[]>> answer = send(target, digestToRelease);
            if (answer.isPresent()) {
                return printResponse(answer.get(), digestToRelease);
            }
        }
        System.err.println("no node responded");
        return ExitCode.FAILED;
    }

    private Optional<HttpResponse<byte[]>> send(String target, Optional<String> digestToRelease)
            throws InterruptedException {
        return digestToRelease.isPresent()
                ? nodes.send(target, "DELETE", PATH + '/' + digestToRelease.get())
                : nodes.send(target, "GET", PATH);
    }

    private static ExitCode printResponse(HttpResponse<byte[]> answer, Optional<String> digestToRelease)
            throws IOException {
        if (answer.statusCode() == NOT_FOUND) {
            System.err.println("not suspected: " + digestToRelease.orElse(""));
            return ExitCode.FAILED;
        }
        JsonNode body = MAPPER.readTree(answer.body());
        if (digestToRelease.isPresent()) {
            System.out.println("lifted " + digestToRelease.get());
        }
        for (JsonNode quarantined : body.path("held")) {
            System.out.printf(
                    "digest=%s part=%s route=%s account=%s since_s=%d left_s=%d upstreams=%s%n",
                    quarantined.path("digest").asText(),
                    quarantined.path("part").asText(),
                    quarantined.path("route").asText(),
                    quarantined.path("account").asText(),
                    quarantined.path("since_ms").asLong() / MILLIS_PER_SECOND,
                    quarantined.path("left_ms").asLong() / MILLIS_PER_SECOND,
                    quarantined.path("upstreams"));
        }
        return ExitCode.SUCCESS;
    }
}
