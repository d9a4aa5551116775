package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.engineload.EnginePrompt;
import org.copperspindle.http.HeaderField;

/**
 * A decoded request of a caller.
 *
 * @param id             id given by the caller; each attempt of a caller has its own
 * @param method         HTTP method
 * @param uri            target as in the request line
 * @param host           host named by the request
 * @param body           body, empty for none
 * @param key            key of a client account
 * @param deadlineMillis caller's timeout in milliseconds, if stated
 * @param resumePoint    where the stream of an earlier response is taken up, if the caller does so
 * @param prompt         parts of the prompt in order; the last belongs to this request or its session alone
 * @param pieces         number of pieces of each stage, by stage number
 * @param pieceKey       key of its pieces, empty if it has none
 * @param fields         header fields to forward
 */
public record GatewayRequest(
        String id,
        String method,
        String uri,
        String host,
        byte[] body,
        Optional<String> key,
        OptionalLong deadlineMillis,
        Optional<ResumePoint> resumePoint,
        List<PromptPart> prompt,
        List<Integer> pieces,
        String pieceKey,
        List<HeaderField> fields) {

    /** Copies the lists. */
    public GatewayRequest {
        prompt = List.copyOf(prompt);
        pieces = List.copyOf(pieces);
        fields = List.copyOf(fields);
    }

    /**
     * Returns the path without the query.
     *
     * @return the path as received, not decoded
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns the last part of the prompt that other requests share.
     *
     * @return its id, empty if the request has no prompt
     */
    public Optional<String> sharedPrompt() {
        if (prompt.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(prompt.get(Math.max(0, prompt.size() - 2)).id());
    }

    /**
     * Returns the parts of the prompt that other requests may share.
     *
     * @return their ids in order, without the last part, which belongs to this request or its session alone
     */
    List<String> sharedParts() {
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(PromptPart::id)
                .toList();
    }

    /**
     * Returns the length of the prompt.
     *
     * @return tokens of all parts
     */
    long promptTokens() {
        return prompt.stream().mapToLong(PromptPart::tokens).sum();
    }

    /**
     * Returns the length of the part of the prompt that other requests share.
     *
     * @return tokens of all parts but the last
     */
    long sharedTokens() {
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .mapToLong(PromptPart::tokens)
                .sum();
    }

    /** Returns the prompt as the choice of an engine sees it. */
    EnginePrompt enginePrompt() {
        return new EnginePrompt(sharedPrompt().orElse(""), sharedTokens(), promptTokens());
    }
}
