package org.copperspindle.cli;

import java.io.IOException;
import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.sourceforge.argparse4j.inf.MutuallyExclusiveGroup;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * {@code copperspindle evacuate}: begins, ends or lists evacuations. The upstreams of an evacuated failure domain
 * receive no new work.
 */
final class EvacuateCommand implements Command {

    /** Long enough for the election of a new leader and its response after the old leader was lost. */
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PATH = "/v1/evacuations";
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    private final NodeClient nodes = new NodeClient(TIMEOUT);

    @Override
    public String name() {
        return "evacuate";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("evacuate a failure domain, end an evacuation, or list evacuated failure domains")
                .description(
                        "Begins or ends the evacuation of a failure domain: its upstreams get no new work, and work"
                                + " in progress is finished. Without --begin and --end it lists the evacuations that a node knows."
                                + " Exit code 0: done; 1: refused; 3: no definite response, the change may be in force: repeat"
                                + " the command.")
                .epilog("Example: copperspindle evacuate --control 127.0.0.1:8082 --begin leuven");
        MutuallyExclusiveGroup order = parser.addMutuallyExclusiveGroup();
        order.addArgument("--begin").metavar("DOMAIN").help("failure domain to evacuate");
        order.addArgument("--end").metavar("DOMAIN").help("failure domain whose evacuation ends");
        ControlAddresses.declare(parser);
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        for (String target : ControlAddresses.of(arguments)) {
            Optional<HttpResponse<byte[]>> result = send(target, arguments);
            if (result.isPresent()) {
                return printResponse(result.get());
            }
        }
        System.err.println("no node gave a definite response");
        return ExitCode.UNKNOWN;
    }

    /** Returns the response of a node; empty if it did not respond or does not know the outcome of the change. */
    private Optional<HttpResponse<byte[]>> send(String target, Namespace arguments) throws InterruptedException {
        String domainToBegin = arguments.getString("begin");
        String domainToEnd = arguments.getString("end");
        Optional<HttpResponse<byte[]>> result;
        if (domainToBegin != null) {
            result = nodes.send(target, "PUT", path(domainToBegin));
        } else if (domainToEnd != null) {
            result = nodes.send(target, "DELETE", path(domainToEnd));
        } else {
            result = nodes.send(target, "GET", PATH);
        }
        result.filter(response -> response.statusCode() >= SERVER_ERROR)
                .ifPresent(response ->
                        System.err.println(target + ": " + new String(response.body(), StandardCharsets.UTF_8)));
        return result.filter(response -> response.statusCode() < SERVER_ERROR);
    }

    private static String path(String domain) {
        return PATH + '/' + URLEncoder.encode(domain, StandardCharsets.UTF_8);
    }

    private static ExitCode printResponse(HttpResponse<byte[]> result) throws IOException {
        JsonNode body = MAPPER.readTree(result.body());
        if (result.statusCode() != OK) {
            System.err.println("refused: " + body);
            return ExitCode.FAILED;
        }
        if (body.path("evacuated").isTextual()) {
            System.out.println("evacuated " + body.path("evacuated").asText());
        } else if (body.has("used")) {
            System.out.println("used again " + body.path("used").asText());
        } else {
            body.path("evacuated").forEach(domain -> System.out.println(domain.asText()));
        }
        return ExitCode.SUCCESS;
    }
}
