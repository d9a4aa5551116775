package org.copperspindle.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.Priority;
import org.copperspindle.emulator.FakeAnswers;

/**
 * One sending of a call, with all that is needed to judge its answer.
 *
 * @param trace    the call in the trace
 * @param pipeline pipeline or plain service
 * @param priority priority that it is served with
 * @param token    names the work in the body; the ledger counts by it
 * @param key      its idempotency key
 * @param bearer   bearer key of the account
 * @param resent   whether this repeats an earlier sending with the same key
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

    DemoCall again() {
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

    /** Returns the one right answer: the echo of a service's body, or the text that the fake engine must generate. */
    String expected() {
        return pipeline.service() ? body() : FakeAnswers.completion(input(), trace.tokens());
    }

    private String input() {
        // The token comes first: like the prompts of different texts, no two share a prefix, so routing spreads them.
        return "token=" + token + " " + pipeline.name() + " for " + trace.account();
    }
}
