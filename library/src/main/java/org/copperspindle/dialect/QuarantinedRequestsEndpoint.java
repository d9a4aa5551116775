package org.copperspindle.dialect;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.gateway.ControlRequestHandler;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.quarantine.QuarantinedRequest;
import org.copperspindle.quarantine.RequestDigest;

/**
 * An operator's calls on requests that are held off: {@code GET} lists them, {@code DELETE} of one lets it run again. The
 * project's own on every deployment.
 */
final class QuarantinedRequestsEndpoint implements HttpRequestHandler {

    private static final String PATH = "/v1/held-requests";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final ControlRequestHandler desk;

    QuarantinedRequestsEndpoint(ControlRequestHandler desk) {
        this.desk = desk;
    }

    static boolean isMeant(HttpExchange exchange) {
        String path = exchange.path();
        return path.equals(PATH) || path.startsWith(PATH + '/');
    }

    @Override
    public void handle(HttpExchange exchange) {
        boolean names = exchange.path().length() > PATH.length() + 1;
        if (!names && exchange.method().equals("GET")) {
            HttpControlEndpoint.answer(exchange, OK, list());
        } else if (names && exchange.method().equals("DELETE")) {
            lift(exchange, exchange.path().substring(PATH.length() + 1));
        } else {
            HttpControlEndpoint.answer(
                    exchange, METHOD_NOT_ALLOWED, problem("GET lists, DELETE of one lifts its hold"));
        }
    }

    private void lift(HttpExchange exchange, String digest) {
        if (desk.liftHold(new RequestDigest(digest))) {
            HttpControlEndpoint.answer(
                    exchange, OK, JsonText.nodes().objectNode().put("lifted", digest));
        } else {
            HttpControlEndpoint.answer(exchange, NOT_FOUND, problem("no request of that digest is suspected"));
        }
    }

    private JsonNode list() {
        ObjectNode all = JsonText.nodes().objectNode();
        ArrayNode held = all.putArray("held");
        for (QuarantinedRequest each : desk.heldRequests()) {
            ObjectNode one = held.addObject()
                    .put("digest", each.digest())
                    .put("route", each.route())
                    .put("account", each.account())
                    .put("since_ms", each.sinceMillis())
                    .put("left_ms", each.remainingMillis());
            ArrayNode upstreams = one.putArray("upstreams");
            each.upstreams().forEach(upstreams::add);
        }
        return all;
    }

    private static JsonNode problem(String text) {
        return JsonText.nodes().objectNode().put("problem", text);
    }
}
