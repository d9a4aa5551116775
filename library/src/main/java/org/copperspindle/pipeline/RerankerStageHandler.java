package org.copperspindle.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.config.StageSettings;

/**
 * Calls rerankers with plain JSON in the format of Cohere and Jina: {@code POST /rerank} with {@code model}, {@code
 * query}, {@code documents} and {@code top_n}; the response contains {@code results[].index}, best first.
 */
final class RerankerStageHandler implements StageHandler {

    private static final int DEFAULT_TOP_N = 4;

    @Override
    public String path(StageSettings stage) {
        return stage.path().isEmpty() ? "/rerank" : stage.path();
    }

    @Override
    public byte[] request(StageContext context, StageSettings stage, boolean streaming) throws IOException {
        ObjectNode node = StageContext.JSON
                .createObjectNode()
                .put("model", stage.model())
                .put("query", context.input())
                .put("top_n", context.request().path("top_n").asInt(DEFAULT_TOP_N));
        node.set("documents", context.documents());
        return StageContext.JSON.writeValueAsBytes(node);
    }

    @Override
    public void accept(StageContext context, byte[] body, String contentType, boolean streaming) throws IOException {
        JsonNode results = StageContext.JSON.readTree(body).path("results");
        if (!results.isArray()) {
            throw new IOException("no results");
        }
        ArrayNode kept = StageContext.JSON.createArrayNode();
        for (JsonNode result : results) {
            JsonNode document = context.documents().path(result.path("index").asInt(-1));
            if (document.isMissingNode()) {
                throw new IOException("result names a document that was not sent");
            }
            kept.add(document);
        }
        context.documents(kept);
    }
}
