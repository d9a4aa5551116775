package org.copperspindle.fleet;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The HTTP call by which an engine executes an order. Calls for adapters use the interface that is common among
 * engines, other calls use a simple one of this project. Each body contains {@code order_id} and
 * {@code fencing_number}.
 *
 * @param path           HTTP path, called with POST
 * @param body           JSON body
 * @param orderId        identity of the order, sent as {@code Idempotency-Key}
 * @param fencingNumber  fencing number, for engines that reject outdated ones; also sent as {@link #FENCING_HEADER}
 */
public record EngineRequest(String path, byte[] body, String orderId, long fencingNumber) {

    /** Header that carries the fencing number. */
    public static final String FENCING_HEADER = "Copperspindle-Fencing-Number";

    /**
     * Creates the call for an order.
     *
     * @param order the order
     * @return the call
     */
    public static EngineRequest of(OrderMessage order) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        String path = switch (order.kind()) {
            case LOAD_MODEL -> modelPath(body, order.subject(), "/admin/load");
            case UNLOAD_MODEL -> modelPath(body, order.subject(), "/admin/unload");
            case LOAD_ADAPTER -> {
                body.put("lora_name", order.subject());
                body.put("lora_path", order.weightsPath() + "/" + order.subject());
                yield "/v1/load_lora_adapter";
            }
            case UNLOAD_ADAPTER -> {
                body.put("lora_name", order.subject());
                yield "/v1/unload_lora_adapter";
            }
            case CHANGE_ROLE -> {
                body.put("role", order.subject());
                yield "/admin/role";
            }
            case CANCEL -> {
                body.put("request_id", order.subject());
                yield "/admin/cancel";
            }
        };
        body.put("order_id", order.orderId()).put("fencing_number", order.sequence());
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        return new EngineRequest(path, bytes, order.orderId(), order.sequence());
    }

    private static String modelPath(ObjectNode body, String subject, String path) {
        ModelName name = ModelName.parse(subject);
        body.put("model", name.base());
        name.version().ifPresent(version -> body.put("version", version));
        return path;
    }
}
