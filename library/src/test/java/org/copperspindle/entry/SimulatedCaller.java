package org.copperspindle.entry;

import java.util.Optional;

import org.copperspindle.pipeline.PipelineAnswer;

/** One request of a caller, and the response to it. */
final class SimulatedCaller implements AnswerSink {

    private final String requestId;
    private final String pipeline;
    private final String key;
    private final String token;
    private final long deadline;
    private final SimulatedDeployment deployment;
    private final StringBuilder text = new StringBuilder();
    private Optional<PipelineAnswer> answer = Optional.empty();
    private int ends;
    private long endedAt;
    private boolean left;
    private boolean stalled;

    SimulatedCaller(
            SimulatedDeployment deployment,
            String requestId,
            String pipeline,
            String key,
            String token,
            long deadline) {
        this.deployment = deployment;
        this.requestId = requestId;
        this.pipeline = pipeline;
        this.key = key;
        this.token = token;
        this.deadline = deadline;
    }

    @Override
    public void writeChunk(String chunk) {
        if (!left) {
            text.append(chunk);
        }
    }

    @Override
    public void end(String id, PipelineAnswer received) {
        ends++;
        endedAt = deployment.timers().nanoTime();
        answer = Optional.of(received);
    }

    /** The caller stops reading. */
    void stall() {
        stalled = true;
    }

    @Override
    public long waitingBytes() {
        return stalled ? Long.MAX_VALUE : 0;
    }

    /** The caller disconnected, or its entry crashed. */
    void leave() {
        left = true;
    }

    boolean left() {
        return left;
    }

    String requestId() {
        return requestId;
    }

    String pipeline() {
        return pipeline;
    }

    String key() {
        return key;
    }

    /** Returns whether the caller sent no key, so that the entry generated one. */
    boolean hasGeneratedKey() {
        return key.equals(requestId);
    }

    String token() {
        return token;
    }

    long deadline() {
        return deadline;
    }

    String text() {
        return text.toString();
    }

    Optional<PipelineAnswer> answer() {
        return answer;
    }

    int ends() {
        return ends;
    }

    long endedAt() {
        return endedAt;
    }

    String verdict() {
        return answer.map(a -> a.verdict().label()).orElse("none");
    }

    String reason() {
        return answer.map(a -> a.verdict().reason()).orElse("");
    }

    boolean successful() {
        return answer.isPresent() && answer.get().successful();
    }

    String body() {
        return new String(answer.orElseThrow().body(), java.nio.charset.StandardCharsets.UTF_8);
    }
}
