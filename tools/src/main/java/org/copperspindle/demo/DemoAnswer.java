package org.copperspindle.demo;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a caller got.
 *
 * @param call      what it had sent
 * @param outcome   the answer judged against the one right answer
 * @param verdict   verdict in the answer; empty if there was none
 * @param reason    reason of the verdict, or of the lack of an answer
 * @param requestId identity that the system gave the request; empty if it told none
 * @param latency   from sending to the end of the answer
 */
record DemoAnswer(DemoCall call, Outcome outcome, String verdict, String reason, String requestId, Duration latency) {

    private static final Pattern TOKEN = Pattern.compile("token(?:=|\":\")([A-Za-z0-9-]+)");
    private static final String RAN = "RAN";
    private static final int OK = 200;

    /** How an answer compares with the one right answer. */
    enum Outcome {
        /** It is the right answer, whole. */
        WHOLE,
        /** The system said that it could not answer, with a verdict. */
        FAILED,
        /** No answer came, or one that ended without saying so. */
        NONE,
        /** Given as complete, and parts are missing or wrong. */
        SPOILT,
        /** Given as complete, and longer than the right answer. */
        DOUBLED,
        /** Carries the token of another call. */
        FOREIGN
    }

    static DemoAnswer of(DemoCall call, HttpResponse<String> response, Duration latency) {
        String requestId =
                response.headers().firstValue("Copperspindle-Request-Id").orElse("");
        String type = response.headers().firstValue("Content-Type").orElse("");
        try {
            if (response.statusCode() != OK) {
                return problem(call, response.body(), requestId, latency);
            }
            if (type.startsWith("text/event-stream")) {
                return ofStream(call, response.body(), requestId, latency);
            }
            String text = call.pipeline().service()
                    ? DemoCall.JSON.readTree(response.body()).path("request").toString()
                    : DemoCall.JSON.readTree(response.body()).path("output").asText();
            return judged(call, text, response.body(), requestId, latency);
        } catch (IOException e) {
            return new DemoAnswer(call, Outcome.SPOILT, RAN, "not JSON", requestId, latency);
        }
    }

    static DemoAnswer none(DemoCall call, Throwable cause, Duration latency) {
        return new DemoAnswer(call, Outcome.NONE, "", cause.toString(), "", latency);
    }

    boolean attained() {
        return outcome == Outcome.WHOLE && latency.compareTo(call.pipeline().deadline()) <= 0;
    }

    private static DemoAnswer ofStream(DemoCall call, String body, String requestId, Duration latency)
            throws IOException {
        StringBuilder text = new StringBuilder();
        String event = "";
        for (String line : body.split("\n")) {
            if (line.startsWith("event:")) {
                event = line.substring("event:".length()).strip();
            } else if (line.startsWith("data:")) {
                String data = line.substring("data:".length());
                if (event.equals("problem")) {
                    return problem(call, data, requestId, latency);
                }
                JsonNode json = DemoCall.JSON.readTree(data);
                if (event.equals("end")) {
                    String id = json.path("request_id").asText(requestId);
                    return judged(call, text.toString(), data, id, latency);
                }
                text.append(json.path("text").asText());
            }
        }
        return new DemoAnswer(call, Outcome.NONE, "", "stream without an end", requestId, latency);
    }

    private static DemoAnswer problem(DemoCall call, String body, String requestId, Duration latency)
            throws IOException {
        JsonNode json = DemoCall.JSON.readTree(body);
        String verdict = json.path("verdict").asText();
        String id = json.path("request_id").asText(requestId);
        Outcome outcome = verdict.isEmpty() ? Outcome.NONE : Outcome.FAILED;
        return new DemoAnswer(call, outcome, verdict, json.path("reason").asText(), id, latency);
    }

    private static DemoAnswer judged(DemoCall call, String text, String end, String requestId, Duration latency) {
        Outcome outcome = judge(call, text, end);
        String reason = outcome == Outcome.WHOLE ? "" : "answer was: " + text + " / " + end;
        return new DemoAnswer(call, outcome, RAN, reason, requestId, latency);
    }

    /** Searches the text put together, since a piece of a stream may end inside a token, and the end of the answer. */
    private static Outcome judge(DemoCall call, String text, String end) {
        Matcher matcher = TOKEN.matcher(text + "\n" + end);
        while (matcher.find()) {
            if (!matcher.group(1).equals(call.token())) {
                return Outcome.FOREIGN;
            }
        }
        String expected = call.expected();
        if (text.equals(expected)) {
            return Outcome.WHOLE;
        }
        return text.length() > expected.length() ? Outcome.DOUBLED : Outcome.SPOILT;
    }
}
