package org.copperspindle.cli;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * {@code copperspindle status}: prints the leader, configuration versions in force, leases, upstreams and pending
 * changes.
 */
final class StatusCommand implements Command {

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;

    private final NodeClient nodes = new NodeClient(TIMEOUT);

    @Override
    public String name() {
        return "status";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("show the state of the control members")
                .description("Shows the leader, the versions in force at each member, leases, upstreams and changes"
                        + " that are pending. Exit code 0: the leader responded; 1: only other members or none did.")
                .epilog("Example: copperspindle status --control 127.0.0.1:7401,127.0.0.1:7402 --format json");
        parser.addArgument("--format")
                .choices("text", "json")
                .setDefault("text")
                .help("output format");
        ControlAddresses.declare(parser);
    }

    @Override
    public ExitCode run(Namespace arguments) throws Exception {
        Deque<String> targets = new ArrayDeque<>(ControlAddresses.of(arguments));
        Set<String> visited = new HashSet<>();
        Optional<JsonNode> best = Optional.empty();
        while (!targets.isEmpty()) {
            String target = targets.poll();
            if (!visited.add(target)) {
                continue;
            }
            Optional<JsonNode> answer = fetch(target);
            if (answer.isPresent()) {
                best = answer;
                if (answer.get().path("leads").asBoolean()) {
                    break;
                }
                String leader = answer.get().path("leader").asText();
                if (!leader.isEmpty()) {
                    targets.addFirst(leader);
                }
            }
        }
        if (best.isEmpty()) {
            System.err.println("no control member responded");
            return ExitCode.FAILED;
        }
        boolean json = arguments.getString("format").equals("json");
        System.out.println(json ? best.get().toString() : StatusText.of(best.get()));
        return best.get().path("leads").asBoolean() ? ExitCode.SUCCESS : ExitCode.FAILED;
    }

    private Optional<JsonNode> fetch(String target) throws InterruptedException {
        Optional<HttpResponse<byte[]>> answer =
                nodes.send(target, "GET", "/v1/status").filter(received -> received.statusCode() == OK);
        if (answer.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readTree(answer.get().body()));
        } catch (IOException e) {
            System.err.println(target + ": " + e);
            return Optional.empty();
        }
    }
}
