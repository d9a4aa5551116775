package org.copperspindle.control;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.settings.SettingsException;

/**
 * The operators' HTTP interface of a control member: {@code POST /v1/config?base=N&change=ID&operator=NAME} with the
 * whole INI text as body.
 */
public final class ControlDoor implements HttpRequestHandler {

    private static final String JSON = "application/json";

    private final DecisionRing ring;
    private final ControlService service;

    /**
     * Creates the door.
     *
     * @param ring    decision ring that owns the service
     * @param service carries the changes out
     */
    public ControlDoor(DecisionRing ring, ControlService service) {
        this.ring = ring;
        this.service = service;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.path().equals("/livez")) {
            answer(exchange, 200, node("live"));
        } else if (exchange.path().equals("/v1/config") && exchange.method().equals("POST")) {
            apply(exchange);
        } else {
            answer(exchange, 404, node("unknown-path"));
        }
    }

    private void apply(HttpExchange exchange) {
        Optional<Long> base =
                exchange.parameter("base").filter(b -> b.matches("[0-9]{1,18}")).map(Long::parseLong);
        Optional<String> change = exchange.parameter("change").filter(c -> !c.isBlank());
        Optional<String> operator = exchange.parameter("operator").filter(o -> !o.isBlank());
        if (base.isEmpty() || change.isEmpty() || operator.isEmpty()) {
            answer(exchange, 400, node("refused").put("reason", "base, change and operator are required"));
            return;
        }
        String text = new String(exchange.body(), StandardCharsets.UTF_8);
        try {
            DeploymentLoader.parse(exchange.parameter("file").orElse("request"), text);
        } catch (SettingsException e) {
            answer(exchange, 422, node("refused").put("reason", e.getMessage()));
            return;
        }
        ApplyConfigCommand command = new ApplyConfigCommand(change.get(), base.get(), operator.get(), text);
        if (!ring.offer(() -> service.apply(command, result -> report(exchange, result)))) {
            answer(exchange, 503, node("refused").put("reason", "overloaded"));
        }
    }

    private static void report(HttpExchange exchange, ProposalResult result) {
        if (result instanceof ProposalResult.Committed committed) {
            if (committed.result() instanceof ControlResult.ConfigAccepted accepted) {
                answer(exchange, 200, node("accepted").put("version", accepted.version()));
            } else if (committed.result() instanceof ControlResult.ConfigRefused refused) {
                answer(
                        exchange,
                        409,
                        node("refused").put("version", refused.currentVersion()).put("reason", refused.reason()));
            }
        } else if (result instanceof ProposalResult.NotTaken notTaken) {
            answer(
                    exchange,
                    503,
                    node("refused").put("reason", "not the leader").put("leader", notTaken.leaderAddress()));
        } else {
            answer(exchange, 504, node("unknown"));
        }
    }

    private static ObjectNode node(String outcome) {
        return JsonNodeFactory.instance.objectNode().put("outcome", outcome);
    }

    private static void answer(HttpExchange exchange, int status, ObjectNode node) {
        exchange.respond(status, JSON, Map.of(), node.toString().getBytes(StandardCharsets.UTF_8));
    }
}
