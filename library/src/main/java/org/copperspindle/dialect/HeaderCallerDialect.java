package org.copperspindle.dialect;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.gateway.CallerDialect;
import org.copperspindle.gateway.GatewayRequest;
import org.copperspindle.gateway.GatewayRequestResult;
import org.copperspindle.gateway.PromptPart;
import org.copperspindle.gateway.ResumePoint;
import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;

/**
 * Reads requests whose parameters are in header fields.
 */
public final class HeaderCallerDialect implements CallerDialect {

    /** Pieces of all stages of one request. A number costs its caller a few bytes, and this process memory for each piece. */
    private static final int MAX_PIECES = 4096;

    private static final String BEARER = "bearer ";
    private static final double MILLIS_PER_SECOND = 1000;

    private final HeaderNames names;

    /**
     * Creates the dialect.
     *
     * @param names names of the fields
     */
    public HeaderCallerDialect(HeaderNames names) {
        this.names = names;
    }

    @Override
    public GatewayRequestResult read(HttpExchange exchange) {
        if (exchange.headerCount(names.requestId()) != 1) {
            return new GatewayRequestResult.Invalid("exactly one " + names.requestId() + " is needed");
        }
        try {
            return new GatewayRequestResult.Valid(decode(exchange));
        } catch (IllegalArgumentException e) {
            return new GatewayRequestResult.Invalid(e.getMessage());
        }
    }

    @Override
    public List<HeaderField> retryAfter(Duration after) {
        // Callers that can retry within a second honour fractions of a second, others round them.
        String seconds = String.format(Locale.ROOT, "%.2f", after.toMillis() / MILLIS_PER_SECOND);
        return List.of(new HeaderField(HeaderFields.RETRY_AFTER, seconds));
    }

    private GatewayRequest decode(HttpExchange exchange) {
        return new GatewayRequest(
                exchange.header(names.requestId()).orElseThrow(),
                exchange.method(),
                exchange.uri(),
                exchange.header(HeaderFields.HOST).orElse(""),
                exchange.body(),
                exchange.header(HeaderFields.AUTHORIZATION).flatMap(HeaderCallerDialect::key),
                deadline(exchange),
                resumePoint(exchange),
                prompt(exchange.headerList(names.prompt())),
                pieces(exchange.header(names.pieces()).orElse("")),
                exchange.header(names.pieceKey()).orElse(""),
                HeaderFields.forwarded(exchange.fields(), names.reserved(), names.endToEnd()));
    }

    private static Optional<String> key(String authorization) {
        boolean bearer = authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
        return bearer ? Optional.of(authorization.substring(BEARER.length()).trim()) : Optional.empty();
    }

    private Optional<ResumePoint> resumePoint(HttpExchange exchange) {
        if (exchange.headerCount(HeaderFields.LAST_EVENT_ID) > 1) {
            throw new IllegalArgumentException("more than one " + HeaderFields.LAST_EVENT_ID);
        }
        Optional<String> first =
                exchange.headerCount(names.resumes()) == 1 ? exchange.header(names.resumes()) : Optional.empty();
        return exchange.header(HeaderFields.LAST_EVENT_ID)
                .map(event -> new ResumePoint(event, first.filter(id -> !id.isBlank())));
    }

    private OptionalLong deadline(HttpExchange exchange) {
        Optional<String> text = exchange.header(names.deadline());
        if (text.isEmpty()) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of((long) Double.parseDouble(text.get().trim()));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(names.deadline() + " is not a number", e);
        }
    }

    private List<PromptPart> prompt(String text) {
        List<PromptPart> parts = new ArrayList<>();
        for (String part : split(text)) {
            int colon = part.indexOf(':');
            if (colon <= 0) {
                throw new IllegalArgumentException(names.prompt() + " is not a list of ID:TOKENS");
            }
            parts.add(new PromptPart(part.substring(0, colon), number(names.prompt(), part.substring(colon + 1))));
        }
        return parts;
    }

    private List<Integer> pieces(String text) {
        List<Integer> counts =
                split(text).stream().map(count -> number(names.pieces(), count)).toList();
        if (counts.stream().mapToLong(Integer::longValue).sum() > MAX_PIECES) {
            throw new IllegalArgumentException(names.pieces() + " names more than " + MAX_PIECES + " pieces");
        }
        return counts;
    }

    private static List<String> split(String text) {
        List<String> parts = new ArrayList<>();
        for (String part : text.split(",")) {
            if (!part.isBlank()) {
                parts.add(part.trim());
            }
        }
        return parts;
    }

    private static int number(String field, String text) {
        try {
            int value = Integer.parseInt(text.trim());
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(field + " holds no number: " + text, e);
        }
        throw new IllegalArgumentException(field + " holds a negative number: " + text);
    }
}
