package org.copperspindle.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.agent.SimulatedAgent;
import org.copperspindle.config.PoolKind;
import org.copperspindle.pipeline.StageContext;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;

/** One upstream that records what it ran. It keeps running when its agent crashes. */
public final class SimulatedUpstream {

    static final int WORDS = 8;
    private static final int CHUNK_BYTES = 25;

    private final SimulatedDeployment deployment;
    private final PoolKind kind;

    SimulatedUpstream(SimulatedDeployment deployment, PoolKind kind) {
        this.deployment = deployment;
        this.kind = kind;
    }

    /** Returns the whole text that an engine generates for a token. */
    static String fullText(String token) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < WORDS; i++) {
            text.append(token).append('w').append(i).append(' ');
        }
        return text.toString();
    }

    // The agent finished processing a message and may now crash.
    public void onAgentProcessed(SimulatedAgent agent) {
        deployment.maybeCrash(agent);
    }

    // Runs an attempt; its end is reported once.
    public void call(
            AttemptOrderMessage order, Consumer<AttemptChunkMessage> chunks, Consumer<AttemptOutcomeMessage> end) {
        if (deployment.occurs(deployment.faults().upstream() / 3)) {
            deployment.count("upstream connects refused");
            deployment.later(() -> end.accept(outcome(order, new NotRunVerdict("connect"), 0, "", false, 0)));
            return;
        }
        deployment.later(() -> run(order, chunks, end));
    }

    private void run(
            AttemptOrderMessage order, Consumer<AttemptChunkMessage> chunks, Consumer<AttemptOutcomeMessage> end) {
        JsonNode body = json(order.body());
        String token = token(body);
        int number = deployment.executions().ran(token, order.attemptId());
        boolean fails = deployment.occurs(deployment.faults().upstream());
        if (kind == PoolKind.ENGINE) {
            generate(order, token, body.path("prompt").asText(), fails, chunks, end);
            return;
        }
        String answer = kind == PoolKind.RETRIEVER
                ? "{\"documents\":[\"about " + token + "\"]}"
                : "{\"token\":\"" + token + "\",\"run\":" + number + "}";
        if (fails) {
            failWhole(order, answer, end);
            return;
        }
        deployment.later(() -> end.accept(outcome(order, RanVerdict.SUCCESS, 200, answer, true, 0)));
    }

    private void failWhole(AttemptOrderMessage order, String answer, Consumer<AttemptOutcomeMessage> end) {
        deployment.count("upstream answers broken");
        boolean status = deployment.random().nextBoolean();
        String cut = answer.substring(0, answer.length() / 2);
        deployment.later(() -> end.accept(
                status
                        ? outcome(order, RanVerdict.SUCCESS, 500, "{}", true, 0)
                        : outcome(order, new MayHaveRunVerdict("reset"), 200, cut, false, 0)));
    }

    private void generate(
            AttemptOrderMessage order,
            String token,
            String prompt,
            boolean fails,
            Consumer<AttemptChunkMessage> chunks,
            Consumer<AttemptOutcomeMessage> end) {
        String soFar = prompt.substring(prompt.lastIndexOf('|') + 1);
        String fullText = fullText(token);
        if (!fullText.startsWith(soFar)) {
            throw new AssertionError("resumed behind foreign text: " + soFar);
        }
        StringBuilder events = new StringBuilder();
        for (String word : fullText.substring(soFar.length()).split("(?<= )")) {
            if (!word.isEmpty()) {
                events.append("data: {\"choices\":[{\"text\":\"").append(word).append("\"}]}\n\n");
            }
        }
        events.append("data: [DONE]\n\n");
        byte[] bytes = events.toString().getBytes(StandardCharsets.UTF_8);
        if (fails) {
            deployment.count("streams cut");
            bytes = Arrays.copyOf(bytes, deployment.random().nextInt(bytes.length - "[DONE]\n\n".length()));
        }
        // A truncated stream may look whole to HTTP: a proxy in the engine's VM terminates it properly.
        stream(order, bytes, !fails || deployment.random().nextBoolean(), chunks, end);
    }

    private void stream(
            AttemptOrderMessage order,
            byte[] bytes,
            boolean whole,
            Consumer<AttemptChunkMessage> chunks,
            Consumer<AttemptOutcomeMessage> end) {
        long at = 0;
        int sent = 0;
        for (int from = 0; from < bytes.length && order.streaming(); from += CHUNK_BYTES) {
            byte[] piece = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + CHUNK_BYTES));
            AttemptChunkMessage chunk = new AttemptChunkMessage(order.attemptId(), sent++, piece);
            at += deployment.delay();
            deployment.timers().schedule(at, () -> chunks.accept(chunk));
        }
        Verdict verdict = whole ? RanVerdict.SUCCESS : new MayHaveRunVerdict("reset");
        String body = order.streaming()
                ? new String(bytes, StandardCharsets.UTF_8)
                : "{\"choices\":[{\"text\":\"" + fullText(token(json(order.body()))) + "\"}]}";
        int pieces = sent;
        deployment
                .timers()
                .schedule(at + deployment.delay(), () -> end.accept(outcome(order, verdict, 200, body, whole, pieces)));
    }

    private static String token(JsonNode body) {
        String text = body.path("token").asText("");
        if (!text.isEmpty()) {
            return text;
        }
        String words = body.path("prompt").asText("")
                + body.path("query").asText("")
                + body.path("input").asText("");
        int start = words.indexOf("face-") + "face-".length();
        return words.substring(start, words.indexOf('|', start));
    }

    private static JsonNode json(byte[] body) {
        try {
            return StageContext.JSON.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static AttemptOutcomeMessage outcome(
            AttemptOrderMessage order, Verdict verdict, int status, String body, boolean complete, int chunks) {
        return new AttemptOutcomeMessage(
                order.attemptId(),
                verdict,
                status,
                "application/json",
                body.getBytes(StandardCharsets.UTF_8),
                complete,
                chunks,
                1,
                0,
                -1);
    }
}
