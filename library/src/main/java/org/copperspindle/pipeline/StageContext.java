package org.copperspindle.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The results of earlier stages of one request, for use in later stages.
 */
public final class StageContext {

    /** JSON codec shared by all stages; thread-safe. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private final byte[] body;
    private final JsonNode request;
    private JsonNode embedding = JsonNodeFactory.instance.missingNode();
    private JsonNode documents = JsonNodeFactory.instance.arrayNode();
    private final StringBuilder text = new StringBuilder();
    private final StringBuilder passedOn = new StringBuilder();
    private int piecesPassedOn;
    private byte[] answer = new byte[0];
    private String answerType = "application/json";

    /**
     * Creates a context.
     *
     * @param body the caller's JSON body
     * @throws IOException if it is not JSON
     */
    public StageContext(byte[] body) throws IOException {
        this.body = body;
        this.request = JSON.readTree(body);
    }

    byte[] body() {
        return body;
    }

    JsonNode request() {
        return request;
    }

    /**
     * Returns the input text of the request.
     *
     * @return field {@code input} of the caller's body, empty if absent
     */
    public String input() {
        return request.path("input").asText("");
    }

    JsonNode embedding() {
        return embedding;
    }

    void embedding(JsonNode node) {
        embedding = node;
    }

    JsonNode documents() {
        return documents;
    }

    void documents(JsonNode node) {
        documents = node;
    }

    StringBuilder text() {
        return text;
    }

    /** Adds a piece of the streamed stage that is passed to the caller at once. */
    void passOn(String piece) {
        text.append(piece);
        passedOn.append(piece);
        piecesPassedOn++;
    }

    /** Returns the text of the streamed stage that the caller already has: a resumed stream continues after it. */
    String passedOn() {
        return passedOn.toString();
    }

    int piecesPassedOn() {
        return piecesPassedOn;
    }

    byte[] answer() {
        return answer;
    }

    String answerType() {
        return answerType;
    }

    void answer(byte[] bytes, String contentType) {
        answer = bytes;
        answerType = contentType;
    }
}
