package org.copperspindle.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.config.StageSettings;

/**
 * Calls retrievers with plain JSON: {@code POST /retrieve} with {@code query}, {@code embedding} and {@code top_k};
 * the response contains {@code documents}, an array of strings.
 */
final class RetrieverStageHandler implements StageHandler {

    private static final int DEFAULT_TOP_K = 16;

    @Override
    public String path(StageSettings stage) {
        return stage.path().isEmpty() ? "/retrieve" : stage.path();
    }

    @Override
    public byte[] request(StageContext context, StageSettings stage, boolean streaming) throws IOException {
        ObjectNode node = StageContext.JSON.createObjectNode().put("query", context.input());
        if (context.embedding().isArray()) {
            node.set("embedding", context.embedding());
        }
        node.put("top_k", context.request().path("top_k").asInt(DEFAULT_TOP_K));
        return StageContext.JSON.writeValueAsBytes(node);
    }

    @Override
    public void accept(StageContext context, byte[] body, String contentType, boolean streaming) throws IOException {
        JsonNode documents = StageContext.JSON.readTree(body).path("documents");
        if (!documents.isArray()) {
            throw new IOException("no documents");
        }
        context.documents(documents);
    }
}
