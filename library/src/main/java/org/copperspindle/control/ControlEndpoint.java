package org.copperspindle.control;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.core.DecisionQueue;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.settings.SettingsException;

/**
 * The operators' HTTP endpoint of a control member: {@code POST /v1/config?base=N&change=ID&operator=NAME} with the
 * whole INI text as body, and {@code GET /v1/status}. A member that does not lead redirects to the leader.
 */
public final class ControlEndpoint implements HttpRequestHandler {

    private static final String JSON = "application/json";
    private static final String CONFIG_PATH = "/v1/config";
    private static final String NUMBER = "[0-9]{1,18}";
    private static final int MAX_NAME_CHARS = 200;
    private static final Duration DEFAULT_WAIT = Duration.ofSeconds(30);
    private static final Duration MAX_WAIT = Duration.ofMinutes(5);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final DecisionQueue queue;
    private final Executor validation;
    private final ControlService service;

    /**
     * Creates the endpoint.
     *
     * @param queue      decision ring that owns the service
     * @param validation executor that validates configuration files, outside the network threads and the ring; may
     *                   reject tasks
     * @param service    applies the changes
     */
    public ControlEndpoint(DecisionQueue queue, Executor validation, ControlService service) {
        this.queue = queue;
        this.validation = validation;
        this.service = service;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.path().equals("/livez")) {
            answer(exchange, 200, node("live"));
        } else if (exchange.path().equals(CONFIG_PATH) && exchange.method().equals("POST")) {
            apply(exchange);
        } else if (exchange.path().equals("/v1/status") && exchange.method().equals("GET")) {
            status(exchange);
        } else {
            answer(exchange, 404, node("unknown-path"));
        }
    }

    private void status(HttpExchange exchange) {
        boolean queued = queue.offer(() -> answer(exchange, 200, MAPPER.<ObjectNode>valueToTree(service.status())));
        if (!queued) {
            answer(exchange, 503, node("overloaded"));
        }
    }

    private void apply(HttpExchange exchange) {
        Optional<Long> base =
                exchange.parameter("base").filter(b -> b.matches(NUMBER)).map(Long::parseLong);
        Optional<String> change = name(exchange, "change");
        Optional<String> operator = name(exchange, "operator");
        if (base.isEmpty() || change.isEmpty() || operator.isEmpty()) {
            answer(exchange, 400, node("refused").put("reason", "base, change and operator are required"));
            return;
        }
        String text = new String(exchange.body(), StandardCharsets.UTF_8);
        ApplyConfigCommand command = new ApplyConfigCommand(change.get(), base.get(), operator.get(), text);
        try {
            // Validating a large file takes so long that probes and other operators' requests would time out behind it.
            validation.execute(() -> validate(exchange, command));
        } catch (RejectedExecutionException e) {
            answer(exchange, 503, node("not-taken").put("reason", "overloaded"));
        }
    }

    private void validate(HttpExchange exchange, ApplyConfigCommand command) {
        try {
            DeploymentLoader.parse(exchange.parameter("file").orElse("request"), command.text());
        } catch (SettingsException e) {
            answer(exchange, 422, node("refused").put("reason", e.getMessage()));
            return;
        }
        long wait = exchange.parameter("wait-ms")
                .filter(w -> w.matches(NUMBER))
                .map(Long::parseLong)
                .map(w -> Math.min(w, MAX_WAIT.toMillis()))
                .orElse(DEFAULT_WAIT.toMillis());
        boolean queued = queue.offer(() ->
                service.apply(command, Duration.ofMillis(wait).toNanos(), outcome -> sendOutcome(exchange, outcome)));
        if (!queued) {
            answer(exchange, 503, node("not-taken").put("reason", "overloaded"));
        }
    }

    private static Optional<String> name(HttpExchange exchange, String parameter) {
        return exchange.parameter(parameter).filter(n -> !n.isBlank() && n.length() <= MAX_NAME_CHARS);
    }

    private static void sendOutcome(HttpExchange exchange, ApplyOutcome outcome) {
        if (outcome instanceof ApplyOutcome.Accepted accepted) {
            answer(exchange, 200, node("accepted").put("version", accepted.version()));
        } else if (outcome instanceof ApplyOutcome.Refused refused) {
            answer(
                    exchange,
                    409,
                    node("refused")
                            .put("version", refused.version())
                            .put("operator", refused.operator())
                            .put("reason", refused.reason()));
        } else if (outcome instanceof ApplyOutcome.NotTaken notTaken) {
            redirect(exchange, notTaken.leader());
        } else if (outcome instanceof ApplyOutcome.Unknown unknown) {
            answer(
                    exchange,
                    504,
                    node("unknown").put("version", unknown.version()).put("reason", unknown.reason()));
        }
    }

    private static void redirect(HttpExchange exchange, String leader) {
        ObjectNode node = node("not-taken").put("reason", "this member does not lead");
        if (leader.isEmpty()) {
            answer(exchange, 503, node);
            return;
        }
        StringBuilder location = new StringBuilder("http://" + leader + CONFIG_PATH);
        char separator = '?';
        for (String name : new String[] {"base", "change", "operator", "file", "wait-ms"}) {
            Optional<String> value = exchange.parameter(name);
            if (value.isPresent()) {
                location.append(separator).append(name).append('=');
                location.append(URLEncoder.encode(value.get(), StandardCharsets.UTF_8));
                separator = '&';
            }
        }
        byte[] body = node.put("leader", leader).toString().getBytes(StandardCharsets.UTF_8);
        exchange.respond(307, JSON, Map.of("Location", location.toString()), body);
    }

    private static ObjectNode node(String outcome) {
        return JsonNodeFactory.instance.objectNode().put("outcome", outcome);
    }

    private static void answer(HttpExchange exchange, int status, ObjectNode node) {
        exchange.respond(status, JSON, Map.of(), node.toString().getBytes(StandardCharsets.UTF_8));
    }
}
