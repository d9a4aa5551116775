package org.copperspindle.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.config.StageSettings;

/**
 * Calls encoders through the OpenAI embeddings interface: {@code POST /v1/embeddings} with {@code model} and {@code
 * input}; the response contains {@code data[0].embedding}. Source: OpenAI API reference, "Create embeddings".
 */
final class EncoderStageHandler implements StageHandler {

    @Override
    public String path(StageSettings stage) {
        return stage.path().isEmpty() ? "/v1/embeddings" : stage.path();
    }

    @Override
    public byte[] request(StageContext context, StageSettings stage, boolean streaming) throws IOException {
        return StageContext.JSON.writeValueAsBytes(
                StageContext.JSON.createObjectNode().put("model", stage.model()).put("input", context.input()));
    }

    @Override
    public void accept(StageContext context, byte[] body, String contentType, boolean streaming) throws IOException {
        JsonNode embedding =
                StageContext.JSON.readTree(body).path("data").path(0).path("embedding");
        if (!embedding.isArray()) {
            throw new IOException("no data[0].embedding");
        }
        context.embedding(embedding);
    }
}
