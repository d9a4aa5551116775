package org.copperspindle.demo;

import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.emulator.FakeAnswers;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.SentCall;

/**
 * One transmission of a call, with everything needed to check its response.
 *
 * @param trace    the call in the trace
 * @param pipeline pipeline or plain service that is called
 * @param priority priority with which the call is served
 * @param token    identifies the work in the body; the ledger counts executions by token
 * @param key      idempotency key
 * @param bearer   bearer key of the account
 * @param resent   whether this is a retransmission with the same key
 */
record DemoCall(
        TraceCall trace,
        PipelineSettings pipeline,
        Priority priority,
        String token,
        String key,
        String bearer,
        boolean resent) {

    static final ObjectMapper JSON = new ObjectMapper();

    DemoCall retransmission() {
        return new DemoCall(trace, pipeline, priority, token, key, bearer, true);
    }

    String path() {
        return (pipeline.service() ? "/v1/services/" : "/v1/pipelines/") + pipeline.name();
    }

    String body() {
        ObjectNode body = JSON.createObjectNode();
        if (pipeline.service()) {
            return body.put("token", token).put("call", pipeline.name()).toString();
        }
        return body.put("input", input()).put("max_tokens", trace.tokens()).toString();
    }

    /**
     * Returns what upstreams may get of this call.
     *
     * @param paths paths that they may get, by interface
     */
    SentCall sent(Map<FakeKind, Set<String>> paths) {
        return new SentCall(token, paths, pipeline.service() ? body() : input());
    }

    /** Returns the expected response: the echo of the body for a service, else the completion by the fake engine. */
    String expected() {
        return pipeline.service() ? body() : FakeAnswers.completion(input(), trace.tokens());
    }

    private String input() {
        // The token comes first, so that no two prompts share a prefix and prefix-aware routing spreads them.
        return "token=" + token + " " + pipeline.name() + " for " + trace.account();
    }
}
