package org.copperspindle.emulator;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What fakes answer: made from the request alone, so that a caller can tell its own whole answer from any other.
 */
public final class FakeAnswers {

    static final ObjectMapper JSON = new ObjectMapper();

    private static final Pattern TOKEN = Pattern.compile("token=([A-Za-z0-9-]+)");

    private static final String ECHO = "echo: ";

    private FakeAnswers() {}

    /**
     * Returns the text that an engine generates: the last line of the prompt, then numbered words.
     *
     * @param lastLine last line of the prompt, which is the caller's input
     * @param tokens   words that the answer has, unless the repeated line is longer
     * @return the whole text
     */
    public static String completion(String lastLine, int tokens) {
        StringBuilder text = new StringBuilder(ECHO).append(lastLine);
        for (int i = words(text.toString()).length; i < tokens; i++) {
            text.append(" w").append(i);
        }
        return text.toString();
    }

    /**
     * Returns the caller's token in a request: {@code token} of a plain service's body, {@code token=...} in the text of
     * the others, else the whole text.
     *
     * @param kind    interface that was called
     * @param request JSON body
     * @return the token
     */
    static String token(FakeKind kind, JsonNode request) {
        String text = switch (kind) {
            case SERVICE -> request.path("token").asText();
            case ENCODER -> request.path("input").asText();
            case RETRIEVER, RERANKER -> request.path("query").asText();
            case ENGINE -> input(lastLine(request));
        };
        Matcher matcher = TOKEN.matcher(text);
        return matcher.find() ? matcher.group(1) : text;
    }

    /**
     * Returns what an engine generates for a request. Like a model, it goes on where the prompt ends: a prompt that ends
     * with the beginning of its own answer gets the rest, which is how a cut stream is resumed elsewhere.
     *
     * @param request   JSON body
     * @param maxTokens longest answer of the engine
     * @return the text that is new
     */
    static String generated(JsonNode request, int maxTokens) {
        String line = lastLine(request);
        String input = input(line);
        String begun = line.substring(input.length());
        int tokens = Math.min(maxTokens, request.path("max_tokens").asInt(0));
        String whole = completion(input, begun.isEmpty() ? tokens : tokens + words(begun).length);
        return whole.startsWith(begun) ? whole.substring(begun.length()) : whole;
    }

    private static String input(String line) {
        int answer = line.indexOf(ECHO);
        return answer < 0 ? line : line.substring(0, answer);
    }

    private static String lastLine(JsonNode request) {
        String prompt = request.path("prompt").asText();
        return prompt.substring(prompt.lastIndexOf('\n') + 1);
    }

    static String[] words(String text) {
        return text.split("(?<= )");
    }

    static ObjectNode chunk(String text) {
        ObjectNode chunk = JSON.createObjectNode();
        chunk.putArray("choices").addObject().put("text", text);
        return chunk;
    }

    static ObjectNode whole(FakeKind kind, JsonNode request, String completion) {
        ObjectNode answer = JSON.createObjectNode();
        switch (kind) {
            case ENCODER ->
                answer.putArray("data")
                        .addObject()
                        .putArray("embedding")
                        .add(0.1)
                        .add(0.2);
            case RETRIEVER -> {
                ArrayNode documents = answer.putArray("documents");
                documents.add("document a").add("document b").add("document c");
            }
            case RERANKER -> {
                ArrayNode results = answer.putArray("results");
                results.addObject().put("index", 1);
                results.addObject().put("index", 0);
            }
            case ENGINE -> answer.putArray("choices").addObject().put("text", completion);
            case SERVICE -> answer.put("done", true).set("request", request);
            default -> throw new IllegalStateException("no answer for " + kind);
        }
        return answer;
    }
}
