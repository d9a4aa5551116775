package org.copperspindle.dialect;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.dialect.ControlFormat.ControlCall;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.gateway.ControlRequestHandler;
import org.copperspindle.gateway.ControlResponse;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;

/**
 * HTTP endpoint of a node for operators and upstreams.
 */
public final class HttpControlEndpoint implements HttpRequestHandler {

    private static final int OK = 200;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;
    private static final JsonNode EMPTY_BODY = JsonText.nodes().objectNode();

    private final ControlRequestHandler handler;
    private final ControlFormat format;
    private final QuarantinedRequestsEndpoint quarantinedRequests;
    private final EvacuationEndpoint evacuations;

    /**
     * Creates the endpoint.
     *
     * @param handler handles the requests
     * @param format  format of the calls
     */
    public HttpControlEndpoint(ControlRequestHandler handler, ControlFormat format) {
        this.handler = handler;
        this.format = format;
        this.quarantinedRequests = new QuarantinedRequestsEndpoint(handler);
        this.evacuations = new EvacuationEndpoint(handler.evacuationHandler(), format, this::respondFailure);
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (QuarantinedRequestsEndpoint.matches(exchange)) {
            quarantinedRequests.handle(exchange);
        } else if (evacuations.matches(exchange)) {
            evacuations.handle(exchange);
        } else if (isPrefixCall(exchange, format.announce())) {
            onAnnouncement(exchange, idOf(exchange, format.announce()));
        } else if (isPrefixCall(exchange, format.leave())) {
            onDeparture(exchange, idOf(exchange, format.leave()));
        } else if (isExactCall(exchange, format.putTable())) {
            handler.submitTable(exchange.body(), result -> respondAccepted(exchange, result));
        } else if (isExactCall(exchange, format.readTable())) {
            handler.readTable(result -> respondTable(exchange, result));
        } else if (isKnownPath(exchange)) {
            respondError(exchange, METHOD_NOT_ALLOWED, "method not allowed");
        } else {
            respondError(exchange, NOT_FOUND, "no such call");
        }
    }

    private boolean isKnownPath(HttpExchange exchange) {
        String path = exchange.path();
        return path.startsWith(format.announce().path())
                || path.startsWith(format.leave().path())
                || path.equals(format.putTable().path())
                || path.equals(format.readTable().path());
    }

    private static boolean isPrefixCall(HttpExchange exchange, ControlCall call) {
        return exchange.method().equals(call.method()) && exchange.path().startsWith(call.path());
    }

    private static boolean isExactCall(HttpExchange exchange, ControlCall call) {
        return exchange.method().equals(call.method()) && exchange.path().equals(call.path());
    }

    private static String idOf(HttpExchange exchange, ControlCall call) {
        return exchange.path().substring(call.path().length());
    }

    private void onAnnouncement(HttpExchange exchange, String id) {
        try {
            Optional<String> refused =
                    handler.onAnnouncement(format.readAnnouncement(id, JsonText.read(exchange.body())));
            if (refused.isPresent()) {
                respondError(exchange, UNAVAILABLE, "announcement: " + refused.get());
            } else {
                respond(exchange, OK, EMPTY_BODY);
            }
        } catch (IOException | IllegalArgumentException e) {
            rejectUnreadable(exchange, id, e);
        }
    }

    private void onDeparture(HttpExchange exchange, String id) {
        try {
            boolean hasBody = exchange.body().length > 0;
            long incarnation =
                    hasBody ? format.readDeparture(JsonText.read(exchange.body())) : UpstreamRecord.UNKNOWN_INCARNATION;
            handler.onDeparture(id, incarnation);
            respond(exchange, OK, EMPTY_BODY);
        } catch (IOException | IllegalArgumentException e) {
            rejectUnreadable(exchange, id, e);
        }
    }

    private void rejectUnreadable(HttpExchange exchange, String id, Exception e) {
        handler.recordIgnored(id, "unreadable", e.getMessage());
        respondError(exchange, BAD_REQUEST, "announcement: " + e.getMessage());
    }

    private void respondAccepted(HttpExchange exchange, ControlResponse result) {
        if (result instanceof ControlResponse.Recorded recorded) {
            respond(exchange, OK, format.acceptedBody(recorded.version()));
        } else {
            respondFailure(exchange, result);
        }
    }

    private void respondTable(HttpExchange exchange, ControlResponse result) {
        if (!(result instanceof ControlResponse.Recorded recorded)) {
            respondFailure(exchange, result);
        } else if (recorded.text().isEmpty()) {
            respondError(exchange, UNAVAILABLE, "no configuration was accepted yet");
        } else {
            exchange.respond(OK, format.tableType(), Map.of(), recorded.text().get());
        }
    }

    private void respondFailure(HttpExchange exchange, ControlResponse result) {
        if (result instanceof ControlResponse.Elsewhere elsewhere) {
            String target = exchange.uri().startsWith("/") ? exchange.uri() : exchange.path();
            String location = "http://" + elsewhere.control() + target;
            exchange.respond(TEMPORARY_REDIRECT, JsonText.CONTENT_TYPE, Map.of("Location", location), new byte[0]);
        } else if (result instanceof ControlResponse.Invalid invalid) {
            respondError(exchange, BAD_REQUEST, invalid.problem());
        } else if (result instanceof ControlResponse.Unavailable unavailable) {
            respondError(exchange, UNAVAILABLE, unavailable.reason());
        }
    }

    private void respondError(HttpExchange exchange, int status, String text) {
        respond(exchange, status, format.errorBody(text));
    }

    /** Responds with a JSON body. */
    static void respond(HttpExchange exchange, int status, JsonNode body) {
        exchange.respond(
                status, JsonText.CONTENT_TYPE, Map.of(), body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
