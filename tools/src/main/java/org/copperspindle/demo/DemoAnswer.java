package org.copperspindle.demo;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The response to a call as the caller saw it, compared with the expected response.
 *
 * @param call      the call that was sent
 * @param outcome   result of the comparison with the expected response
 * @param verdict   verdict in the response; empty if there was none
 * @param reason    reason of the verdict, or why there is no response
 * @param requestId request id in the response; empty if there was none
 * @param latency   time from sending the call to the end of the response
 */
record DemoAnswer(DemoCall call, Outcome outcome, String verdict, String reason, String requestId, Duration latency) {

    private static final Pattern TOKEN = Pattern.compile("token(?:=|\":\")([A-Za-z0-9-]+)");
    private static final String RAN = "RAN";
    private static final int OK = 200;

    /** Result of comparing a response with the expected one. */
    enum Outcome {
        /** The complete expected response. */
        WHOLE,
        /** An error response with a verdict. */
        FAILED,
        /** No response, or a stream without its end event. */
        NONE,
        /** Marked as complete, but parts are missing or wrong. */
        SPOILT,
        /** Marked as complete, but longer than expected. */
        DOUBLED,
        /** Contains the token of another call. */
        FOREIGN
    }

    static DemoAnswer of(DemoCall call, HttpResponse<String> response, Duration latency) {
        String requestId =
                response.headers().firstValue("Copperspindle-Request-Id").orElse("");
        String type = response.headers().firstValue("Content-Type").orElse("");
        try {
            if (response.statusCode() != OK) {
                return ofProblem(call, response.body(), requestId, latency);
            }
            if (type.startsWith("text/event-stream")) {
                return ofStream(call, response.body(), requestId, latency);
            }
            String text = call.pipeline().service()
                    ? DemoCall.JSON.readTree(response.body()).path("request").toString()
                    : DemoCall.JSON.readTree(response.body()).path("output").asText();
            return compared(call, text, response.body(), requestId, latency);
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
                    return ofProblem(call, data, requestId, latency);
                }
                JsonNode json = DemoCall.JSON.readTree(data);
                if (event.equals("end")) {
                    String id = json.path("request_id").asText(requestId);
                    return compared(call, text.toString(), data, id, latency);
                }
                text.append(json.path("text").asText());
            }
        }
        return new DemoAnswer(call, Outcome.NONE, "", "stream without an end", requestId, latency);
    }

    private static DemoAnswer ofProblem(DemoCall call, String body, String requestId, Duration latency)
            throws IOException {
        JsonNode json = DemoCall.JSON.readTree(body);
        String verdict = json.path("verdict").asText();
        String id = json.path("request_id").asText(requestId);
        Outcome outcome = verdict.isEmpty() ? Outcome.NONE : Outcome.FAILED;
        return new DemoAnswer(call, outcome, verdict, json.path("reason").asText(), id, latency);
    }

    private static DemoAnswer compared(DemoCall call, String text, String end, String requestId, Duration latency) {
        Outcome outcome = compareWithExpected(call, text, end);
        String reason = outcome == Outcome.WHOLE ? "" : "answer was: " + text + " / " + end;
        return new DemoAnswer(call, outcome, RAN, reason, requestId, latency);
    }

    /** Searches the joined text, since a stream event may end inside a token, and the end of the response. */
    private static Outcome compareWithExpected(DemoCall call, String text, String end) {
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
