package org.copperspindle.audit;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;

/**
 * HTTP endpoint {@code GET /v1/audit?after=N&limit=M} of a control member: returns one page of its audit trail. Records
 * are sent as they were hashed, so that the reader can verify the chain itself.
 */
public final class AuditEndpoint implements HttpRequestHandler {

    /** Request path of this endpoint. */
    public static final String PATH = "/v1/audit";

    /** Maximum number of records per page. */
    public static final int MAX_PAGE = 500;

    private final DecisionRing ring;
    private final Supplier<AuditHead> head;
    private final AuditStore store;

    /**
     * Creates the endpoint.
     *
     * @param ring  decision ring that owns the trail
     * @param head  returns the head of the chain; called on the ring
     * @param store store of the trail's files
     */
    public AuditEndpoint(DecisionRing ring, Supplier<AuditHead> head, AuditStore store) {
        this.ring = ring;
        this.head = head;
        this.store = store;
    }

    @Override
    public void handle(HttpExchange exchange) {
        long after = longParameter(exchange, "after", 0);
        int limit = (int) Math.max(1, Math.min(MAX_PAGE, longParameter(exchange, "limit", MAX_PAGE)));
        boolean accepted = ring.offer(() -> {
            AuditHead chainHead = head.get();
            store.page(after, limit, records -> respondJson(exchange, 200, page(chainHead, records)));
        });
        if (!accepted) {
            respondJson(exchange, 503, JsonNodeFactory.instance.objectNode().put("reason", "overloaded"));
        }
    }

    private static ObjectNode page(AuditHead chainHead, List<AuditRecord> records) {
        ObjectNode page = JsonNodeFactory.instance.objectNode();
        page.put("head-number", chainHead.number()).put("head-digest", chainHead.hex());
        ArrayNode list = page.putArray("records");
        Base64.Encoder base64 = Base64.getEncoder();
        records.forEach(r -> list.add(base64.encodeToString(AuditRecord.CODEC.encode(r))));
        return page;
    }

    private static long longParameter(HttpExchange exchange, String name, long fallback) {
        return exchange.parameter(name)
                .filter(n -> n.matches("[0-9]{1,18}"))
                .map(Long::parseLong)
                .orElse(fallback);
    }

    private static void respondJson(HttpExchange exchange, int status, ObjectNode node) {
        exchange.respond(status, "application/json", Map.of(), node.toString().getBytes(StandardCharsets.UTF_8));
    }
}
