package org.copperspindle.demo;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One call of a trace.
 *
 * @param atMillis     time since the start of the trace
 * @param account      client account that calls
 * @param call         pipeline or plain service
 * @param tokens       tokens asked for; 0 for plain services
 * @param stream       whether the answer is taken as server-sent events
 * @param resendMillis time after which the call is sent again with the same key; 0 for never
 */
public record TraceCall(
        @JsonProperty("at_ms") long atMillis,
        @JsonProperty("account") String account,
        @JsonProperty("call") String call,
        @JsonProperty("tokens") int tokens,
        @JsonProperty("stream") boolean stream,
        @JsonProperty("resend_ms") long resendMillis) {}
