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
 * {@code GET /v1/audit?after=N&limit=M} on a control member: one page of its trail. Records travel as they were hashed,
 * so that the reader can verify the chain itself.
 */
public final class AuditDoor implements HttpRequestHandler {

    /** Path that this door answers. */
    public static final String PATH = "/v1/audit";

    /** Most records of one page. */
    public static final int MAX_PAGE = 500;

    private final DecisionRing ring;
    private final Supplier<AuditHead> head;
    private final AuditStore store;

    /**
     * Creates the door.
     *
     * @param ring  decision ring that owns the trail
     * @param head  reads the chain's end, on the ring
     * @param store the trail's files
     */
    public AuditDoor(DecisionRing ring, Supplier<AuditHead> head, AuditStore store) {
        this.ring = ring;
        this.head = head;
        this.store = store;
    }

    @Override
    public void handle(HttpExchange exchange) {
        long after = number(exchange, "after", 0);
        int limit = (int) Math.max(1, Math.min(MAX_PAGE, number(exchange, "limit", MAX_PAGE)));
        boolean taken = ring.offer(() -> {
            AuditHead end = head.get();
            store.page(after, limit, records -> answer(exchange, 200, page(end, records)));
        });
        if (!taken) {
            answer(exchange, 503, JsonNodeFactory.instance.objectNode().put("reason", "overloaded"));
        }
    }

    private static ObjectNode page(AuditHead end, List<AuditRecord> records) {
        ObjectNode page = JsonNodeFactory.instance.objectNode();
        page.put("head-number", end.number()).put("head-digest", end.hex());
        ArrayNode list = page.putArray("records");
        Base64.Encoder base64 = Base64.getEncoder();
        records.forEach(r -> list.add(base64.encodeToString(AuditRecord.CODEC.encode(r))));
        return page;
    }

    private static long number(HttpExchange exchange, String name, long fallback) {
        return exchange.parameter(name)
                .filter(n -> n.matches("[0-9]{1,18}"))
                .map(Long::parseLong)
                .orElse(fallback);
    }

    private static void answer(HttpExchange exchange, int status, ObjectNode node) {
        exchange.respond(status, "application/json", Map.of(), node.toString().getBytes(StandardCharsets.UTF_8));
    }
}
