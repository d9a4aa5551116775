package org.copperspindle.cli;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
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

    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(TIMEOUT)
            .followRedirects(HttpClient.Redirect.NORMAL)
            .build();

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
        try {
            HttpResponse<byte[]> answer =
                    http.send(request(target, arguments), HttpResponse.BodyHandlers.ofByteArray());
            if (answer.statusCode() < SERVER_ERROR) {
                return Optional.of(answer);
            }
            System.err.println(target + ": " + new String(answer.body(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            System.err.println(target + ": " + e);
        }
        return Optional.empty();
    }

    private static HttpRequest request(String target, Namespace arguments) {
        String begun = arguments.getString("begin");
        String ended = arguments.getString("end");
        String named = begun == null ? ended : begun;
        String path = named == null ? PATH : PATH + '/' + URLEncoder.encode(named, StandardCharsets.UTF_8);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + target + path)).timeout(TIMEOUT);
        if (begun != null) {
            request.PUT(HttpRequest.BodyPublishers.noBody());
        } else if (ended != null) {
            request.DELETE();
        }
        return request.build();
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
