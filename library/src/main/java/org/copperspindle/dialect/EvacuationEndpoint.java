package org.copperspindle.dialect;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.dialect.ControlFormat.ControlCall;
import org.copperspindle.gateway.ControlResponse;
import org.copperspindle.gateway.EvacuationRequestHandler;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.version.EvacuationCommand;
import org.copperspindle.version.EvacuationsMessage;

/**
 * HTTP endpoint for the evacuation of failure domains. On every deployment {@code GET} of {@value #PATH} lists the
 * evacuated ones as known to this node, {@code PUT} of one below it begins an evacuation, {@code DELETE} ends it. A
 * deployment may define another form of the last two in addition.
 */
final class EvacuationEndpoint implements HttpRequestHandler {

    /** Begins an evacuation; the name of the failure domain follows. */
    static final ControlCall BEGIN = new ControlCall("PUT", "/v1/evacuations/");

    /** Ends an evacuation; the name of the failure domain follows. */
    static final ControlCall END = new ControlCall("DELETE", "/v1/evacuations/");

    private static final String PATH = "/v1/evacuations";

    /** Maximum length of the name of a failure domain, in bytes of UTF-8. */
    private static final int MAX_NAME_BYTES = 200;

    private static final int OK = 200;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final EvacuationRequestHandler handler;
    private final ControlFormat format;
    private final BiConsumer<HttpExchange, ControlResponse> failureResponder;

    /**
     * Creates the endpoint.
     *
     * @param handler          handles the requests
     * @param format           format of the calls
     * @param failureResponder responds to an exchange with any result but success
     */
    EvacuationEndpoint(
            EvacuationRequestHandler handler,
            ControlFormat format,
            BiConsumer<HttpExchange, ControlResponse> failureResponder) {
        this.handler = handler;
        this.format = format;
        this.failureResponder = failureResponder;
    }

    boolean matches(HttpExchange exchange) {
        return isList(exchange)
                || Stream.of(BEGIN, END, format.evacuate(), format.endEvacuation())
                        .anyMatch(call -> exchange.path().startsWith(call.path()));
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (isList(exchange) && exchange.method().equals("GET")) {
            HttpControlEndpoint.respond(exchange, OK, evacuationList());
            return;
        }
        Optional<ControlCall> begins = find(exchange, BEGIN, format.evacuate());
        Optional<ControlCall> ends = find(exchange, END, format.endEvacuation());
        if (begins.isPresent()) {
            submit(exchange, begins.get(), true);
        } else if (ends.isPresent()) {
            submit(exchange, ends.get(), false);
        } else {
            HttpControlEndpoint.respond(exchange, METHOD_NOT_ALLOWED, format.errorBody("method not allowed"));
        }
    }

    private static boolean isList(HttpExchange exchange) {
        return exchange.path().equals(PATH);
    }

    private static Optional<ControlCall> find(HttpExchange exchange, ControlCall... calls) {
        return Stream.of(calls)
                .filter(call -> exchange.method().equals(call.method())
                        && exchange.path().startsWith(call.path()))
                .findFirst();
    }

    private void submit(HttpExchange exchange, ControlCall call, boolean begins) {
        String name = exchange.path().substring(call.path().length());
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > MAX_NAME_BYTES) {
            respondInvalid(exchange, "the name of a failure domain has 1 to " + MAX_NAME_BYTES + " bytes");
        } else if (exchange.body().length > 0) {
            respondInvalid(exchange, "an order on a failure domain has no body");
        } else {
            handler.submit(new EvacuationCommand(name, begins), result -> respond(exchange, name, begins, result));
        }
    }

    private void respond(HttpExchange exchange, String name, boolean begins, ControlResponse result) {
        if (result instanceof ControlResponse.Recorded) {
            JsonNode body = JsonText.nodes().objectNode().put(begins ? "evacuated" : "used", name);
            HttpControlEndpoint.respond(exchange, OK, body);
        } else {
            failureResponder.accept(exchange, result);
        }
    }

    private JsonNode evacuationList() {
        EvacuationsMessage current = handler.current();
        ObjectNode body = JsonText.nodes().objectNode().put("revision", current.revision());
        ArrayNode names = body.putArray("evacuated");
        current.failureDomains().forEach(names::add);
        return body;
    }

    private void respondInvalid(HttpExchange exchange, String problem) {
        failureResponder.accept(exchange, new ControlResponse.Invalid(problem));
    }
}
