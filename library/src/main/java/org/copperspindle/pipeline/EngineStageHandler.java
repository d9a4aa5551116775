package org.copperspindle.pipeline;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.config.StageSettings;

/**
 * Calls engines through the OpenAI completions interface: {@code POST /v1/completions} with {@code model}, {@code
 * prompt}, {@code max_tokens} and {@code stream}; a complete response contains {@code choices[0].text}, a streamed
 * one is a series of server-sent events that ends with {@code [DONE]}. Source: OpenAI API reference, "Create
 * completion".
 */
final class EngineStageHandler implements StageHandler {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final int DEFAULT_MAX_TOKENS = 128;

    @Override
    public String path(StageSettings stage) {
        return stage.path().isEmpty() ? "/v1/completions" : stage.path();
    }

    @Override
    public byte[] request(StageContext context, StageSettings stage, boolean streaming) throws IOException {
        StringBuilder prompt = new StringBuilder();
        for (JsonNode document : context.documents()) {
            prompt.append(document.asText()).append('\n');
        }
        // For a resumed stream the prompt includes the text that the caller already has, so that nothing is missing
        // or repeated.
        prompt.append(context.input()).append(context.passedOn());
        int maxTokens = context.request().path("max_tokens").asInt(DEFAULT_MAX_TOKENS) - context.piecesPassedOn();
        return StageContext.JSON.writeValueAsBytes(StageContext.JSON
                .createObjectNode()
                .put("model", stage.model())
                .put("prompt", prompt.toString())
                .put("max_tokens", Math.max(1, maxTokens))
                .put("stream", streaming));
    }

    @Override
    public void accept(StageContext context, byte[] body, String contentType, boolean streaming) throws IOException {
        // The content type of a kept outcome tells in which form it was first requested: a resend may request the
        // other form.
        if (streaming || contentType.startsWith(EVENT_STREAM)) {
            acceptStream(context, body);
            return;
        }
        JsonNode text = StageContext.JSON.readTree(body).path("choices").path(0).path("text");
        if (!text.isTextual()) {
            throw new IOException("no choices[0].text");
        }
        context.text().append(text.asText());
    }

    @Override
    public boolean canStream() {
        return true;
    }

    private static void acceptStream(StageContext context, byte[] body) throws IOException {
        CompletionStream stream = new CompletionStream();
        List<String> pieces = stream.feed(body);
        if (!stream.ended()) {
            throw new IOException("stream without its end mark");
        }
        pieces.forEach(context.text()::append);
    }
}
