package org.copperspindle.dialect;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.gateway.ControlRequestHandler;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.quarantine.QuarantinedRequest;
import org.copperspindle.quarantine.SuspectDigest;

/**
 * HTTP endpoint for quarantined requests and prompt parts: {@code GET} lists them, {@code DELETE} of one lifts its
 * quarantine. It is the same on every deployment.
 */
final class QuarantinedRequestsEndpoint implements HttpRequestHandler {

    private static final String PATH = "/v1/held-requests";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final ControlRequestHandler handler;

    QuarantinedRequestsEndpoint(ControlRequestHandler handler) {
        this.handler = handler;
    }

    static boolean matches(HttpExchange exchange) {
        String path = exchange.path();
        return path.equals(PATH) || path.startsWith(PATH + '/');
    }

    @Override
    public void handle(HttpExchange exchange) {
        boolean hasDigest = exchange.path().length() > PATH.length() + 1;
        if (!hasDigest && exchange.method().equals("GET")) {
            HttpControlEndpoint.respond(exchange, OK, requestList());
        } else if (hasDigest && exchange.method().equals("DELETE")) {
            lift(exchange, exchange.path().substring(PATH.length() + 1));
        } else {
            HttpControlEndpoint.respond(
                    exchange, METHOD_NOT_ALLOWED, errorBody("GET lists, DELETE of one lifts its hold"));
        }
    }

    private void lift(HttpExchange exchange, String digest) {
        if (handler.liftQuarantine(new SuspectDigest(digest))) {
            HttpControlEndpoint.respond(
                    exchange, OK, JsonText.nodes().objectNode().put("lifted", digest));
        } else {
            HttpControlEndpoint.respond(exchange, NOT_FOUND, errorBody("nothing of that digest is suspected"));
        }
    }

    private JsonNode requestList() {
        ObjectNode body = JsonText.nodes().objectNode();
        ArrayNode entries = body.putArray("held");
        for (QuarantinedRequest request : handler.quarantinedRequests()) {
            ObjectNode entry = entries.addObject()
                    .put("digest", request.digest())
                    .put("part", request.part())
                    .put("route", request.route())
                    .put("account", request.account())
                    .put("since_ms", request.sinceMillis())
                    .put("left_ms", request.remainingMillis());
            ArrayNode upstreams = entry.putArray("upstreams");
            request.upstreams().forEach(upstreams::add);
        }
        return body;
    }

    private static JsonNode errorBody(String text) {
        return JsonText.nodes().objectNode().put("problem", text);
    }
}
