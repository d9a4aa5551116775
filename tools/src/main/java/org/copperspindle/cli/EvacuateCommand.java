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
 * {@code copperspindle evacuate}: failure domains whose upstreams get nothing, and beginning and ending that.
 */
final class EvacuateCommand implements Command {

    /** A leader that is lost is replaced, and its successor answers, well within this. */
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
        parser.help("empty a failure domain, use it again, or list those that are empty")
                .description(
                        "Begins or ends the evacuation of a failure domain: its upstreams get nothing from any node, and what"
                                + " runs there is finished. Without --begin and --end it lists what the first node that answers knows."
                                + " Exit code 0: done; 1: refused; 3: no node gave a clear answer, and the order may be in force: give it"
                                + " again.")
                .epilog("Example: copperspindle evacuate --control 127.0.0.1:8082 --begin leuven");
        MutuallyExclusiveGroup order = parser.addMutuallyExclusiveGroup();
        order.addArgument("--begin").metavar("DOMAIN").help("the failure domain to empty");
        order.addArgument("--end").metavar("DOMAIN").help("the failure domain to use again");
        ControlAddresses.declare(parser);
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        for (String target : ControlAddresses.of(arguments)) {
            Optional<HttpResponse<byte[]>> answer = ask(target, arguments);
            if (answer.isPresent()) {
                return show(answer.get());
            }
        }
        System.err.println("no node gave a clear answer");
        return ExitCode.UNKNOWN;
    }

    /** Returns the answer of a node, unless it has none or can't say how the order ended. */
    private Optional<HttpResponse<byte[]>> ask(String target, Namespace arguments) throws InterruptedException {
        String begun = arguments.getString("begin");
        String ended = arguments.getString("end");
        Optional<HttpResponse<byte[]>> answer;
        if (begun != null) {
            answer = nodes.ask(target, "PUT", path(begun));
        } else if (ended != null) {
            answer = nodes.ask(target, "DELETE", path(ended));
        } else {
            answer = nodes.ask(target, "GET", PATH);
        }
        answer.filter(given -> given.statusCode() >= SERVER_ERROR)
                .ifPresent(unclear ->
                        System.err.println(target + ": " + new String(unclear.body(), StandardCharsets.UTF_8)));
        return answer.filter(given -> given.statusCode() < SERVER_ERROR);
    }

    private static String path(String domain) {
        return PATH + '/' + URLEncoder.encode(domain, StandardCharsets.UTF_8);
    }

    private static ExitCode show(HttpResponse<byte[]> answer) throws IOException {
        JsonNode body = MAPPER.readTree(answer.body());
        if (answer.statusCode() != OK) {
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
