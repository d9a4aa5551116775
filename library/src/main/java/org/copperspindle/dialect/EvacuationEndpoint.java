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
 * An operator's calls on evacuated failure domains. The project's own are there on every deployment: {@code GET} of {@value #PATH} lists
 * them as this node knows them, {@code PUT} of one below it begins an evacuation, {@code DELETE} ends it. A deployment may write
 * the last two in another way besides.
 */
final class EvacuationEndpoint implements HttpRequestHandler {

    /** Begins an evacuation; the failure domain's name follows. */
    static final ControlCall BEGIN = new ControlCall("PUT", "/v1/evacuations/");

    /** Ends one. */
    static final ControlCall END = new ControlCall("DELETE", "/v1/evacuations/");

    private static final String PATH = "/v1/evacuations";

    /** Longest name of a failure domain, in bytes of UTF-8. */
    private static final int LONGEST_NAME = 200;

    private static final int OK = 200;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final EvacuationRequestHandler desk;
    private final ControlFormat format;
    private final BiConsumer<HttpExchange, ControlResponse> others;

    /**
     * Creates the calls.
     *
     * @param desk   what may be asked for
     * @param format how it is written
     * @param others answers with anything but success
     */
    EvacuationEndpoint(
            EvacuationRequestHandler desk, ControlFormat format, BiConsumer<HttpExchange, ControlResponse> others) {
        this.desk = desk;
        this.format = format;
        this.others = others;
    }

    boolean isMeant(HttpExchange exchange) {
        return isList(exchange)
                || Stream.of(BEGIN, END, format.evacuate(), format.endEvacuation())
                        .anyMatch(call -> exchange.path().startsWith(call.path()));
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (isList(exchange) && exchange.method().equals("GET")) {
            HttpControlEndpoint.answer(exchange, OK, list());
            return;
        }
        Optional<ControlCall> begins = find(exchange, BEGIN, format.evacuate());
        Optional<ControlCall> ends = find(exchange, END, format.endEvacuation());
        if (begins.isPresent()) {
            order(exchange, begins.get(), true);
        } else if (ends.isPresent()) {
            order(exchange, ends.get(), false);
        } else {
            HttpControlEndpoint.answer(exchange, METHOD_NOT_ALLOWED, format.errorBody("method not allowed"));
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

    private void order(HttpExchange exchange, ControlCall call, boolean begins) {
        String name = exchange.path().substring(call.path().length());
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > LONGEST_NAME) {
            invalid(exchange, "the name of a failure domain has 1 to " + LONGEST_NAME + " bytes");
        } else if (exchange.body().length > 0) {
            invalid(exchange, "an order on a failure domain has no body");
        } else {
            desk.order(new EvacuationCommand(name, begins), result -> ordered(exchange, name, begins, result));
        }
    }

    private void ordered(HttpExchange exchange, String name, boolean begins, ControlResponse result) {
        if (result instanceof ControlResponse.Recorded) {
            JsonNode body = JsonText.nodes().objectNode().put(begins ? "evacuated" : "used", name);
            HttpControlEndpoint.answer(exchange, OK, body);
        } else {
            others.accept(exchange, result);
        }
    }

    private JsonNode list() {
        EvacuationsMessage held = desk.held();
        ObjectNode all = JsonText.nodes().objectNode().put("revision", held.revision());
        ArrayNode names = all.putArray("evacuated");
        held.failureDomains().forEach(names::add);
        return all;
    }

    private void invalid(HttpExchange exchange, String problem) {
        others.accept(exchange, new ControlResponse.Invalid(problem));
    }
}
