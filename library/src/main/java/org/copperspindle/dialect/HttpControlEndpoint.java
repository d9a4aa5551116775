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
 * A node's door for operators and upstreams.
 */
public final class HttpControlEndpoint implements HttpRequestHandler {

    private static final int OK = 200;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;
    private static final JsonNode NOTHING = JsonText.nodes().objectNode();

    private final ControlRequestHandler desk;
    private final ControlFormat format;
    private final QuarantinedRequestsEndpoint heldRequests;
    private final EvacuationEndpoint evacuations;

    /**
     * Creates the door.
     *
     * @param desk   what may be asked for
     * @param format how it is written
     */
    public HttpControlEndpoint(ControlRequestHandler desk, ControlFormat format) {
        this.desk = desk;
        this.format = format;
        this.heldRequests = new QuarantinedRequestsEndpoint(desk);
        this.evacuations = new EvacuationEndpoint(desk.evacuations(), format, this::other);
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (QuarantinedRequestsEndpoint.isMeant(exchange)) {
            heldRequests.handle(exchange);
        } else if (evacuations.isMeant(exchange)) {
            evacuations.handle(exchange);
        } else if (isCall(exchange, format.announce())) {
            announced(exchange, idOf(exchange, format.announce()));
        } else if (isCall(exchange, format.leave())) {
            left(exchange, idOf(exchange, format.leave()));
        } else if (isWhole(exchange, format.putTable())) {
            desk.accept(exchange.body(), result -> accepted(exchange, result));
        } else if (isWhole(exchange, format.readTable())) {
            desk.read(result -> read(exchange, result));
        } else if (isPath(exchange)) {
            problem(exchange, METHOD_NOT_ALLOWED, "method not allowed");
        } else {
            problem(exchange, NOT_FOUND, "no such call");
        }
    }

    private boolean isPath(HttpExchange exchange) {
        String path = exchange.path();
        return path.startsWith(format.announce().path())
                || path.startsWith(format.leave().path())
                || path.equals(format.putTable().path())
                || path.equals(format.readTable().path());
    }

    private static boolean isCall(HttpExchange exchange, ControlCall call) {
        return exchange.method().equals(call.method()) && exchange.path().startsWith(call.path());
    }

    private static boolean isWhole(HttpExchange exchange, ControlCall call) {
        return exchange.method().equals(call.method()) && exchange.path().equals(call.path());
    }

    private static String idOf(HttpExchange exchange, ControlCall call) {
        return exchange.path().substring(call.path().length());
    }

    private void announced(HttpExchange exchange, String id) {
        try {
            Optional<String> refused = desk.announced(format.readAnnouncement(id, JsonText.read(exchange.body())));
            if (refused.isPresent()) {
                problem(exchange, UNAVAILABLE, "announcement: " + refused.get());
            } else {
                answer(exchange, OK, NOTHING);
            }
        } catch (IOException | IllegalArgumentException e) {
            unreadable(exchange, id, e);
        }
    }

    private void left(HttpExchange exchange, String id) {
        try {
            boolean tellsMore = exchange.body().length > 0;
            long incarnation = tellsMore
                    ? format.readDeparture(JsonText.read(exchange.body()))
                    : UpstreamRecord.UNKNOWN_INCARNATION;
            desk.left(id, incarnation);
            answer(exchange, OK, NOTHING);
        } catch (IOException | IllegalArgumentException e) {
            unreadable(exchange, id, e);
        }
    }

    private void unreadable(HttpExchange exchange, String id, Exception e) {
        desk.ignored(id, "unreadable", e.getMessage());
        problem(exchange, BAD_REQUEST, "announcement: " + e.getMessage());
    }

    private void accepted(HttpExchange exchange, ControlResponse result) {
        if (result instanceof ControlResponse.Recorded recorded) {
            answer(exchange, OK, format.acceptedBody(recorded.version()));
        } else {
            other(exchange, result);
        }
    }

    private void read(HttpExchange exchange, ControlResponse result) {
        if (!(result instanceof ControlResponse.Recorded recorded)) {
            other(exchange, result);
        } else if (recorded.text().isEmpty()) {
            problem(exchange, UNAVAILABLE, "no configuration was accepted yet");
        } else {
            exchange.respond(OK, format.tableType(), Map.of(), recorded.text().get());
        }
    }

    private void other(HttpExchange exchange, ControlResponse result) {
        if (result instanceof ControlResponse.Elsewhere elsewhere) {
            String target = exchange.uri().startsWith("/") ? exchange.uri() : exchange.path();
            String location = "http://" + elsewhere.control() + target;
            exchange.respond(TEMPORARY_REDIRECT, JsonText.CONTENT_TYPE, Map.of("Location", location), new byte[0]);
        } else if (result instanceof ControlResponse.Invalid invalid) {
            problem(exchange, BAD_REQUEST, invalid.problem());
        } else if (result instanceof ControlResponse.Unavailable unavailable) {
            problem(exchange, UNAVAILABLE, unavailable.reason());
        }
    }

    private void problem(HttpExchange exchange, int status, String text) {
        answer(exchange, status, format.errorBody(text));
    }

    /** Answers with a JSON body. */
    static void answer(HttpExchange exchange, int status, JsonNode body) {
        exchange.respond(
                status, JsonText.CONTENT_TYPE, Map.of(), body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
