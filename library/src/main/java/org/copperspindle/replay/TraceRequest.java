package org.copperspindle.replay;

import java.util.Map;

import org.copperspindle.config.Priority;

/**
 * A request of a trace.
 *
 * @param atNanos       time of arrival since the start of the trace
 * @param account       client account
 * @param pipeline      pipeline or plain service
 * @param priority      requested priority
 * @param deadlineNanos time from arrival to the deadline of the complete response
 * @param prefix        id of the prompt prefix, 0 for none
 * @param workNanos     time that each stage takes on an idle upstream, by stage name
 */
public record TraceRequest(
        long atNanos,
        String account,
        String pipeline,
        Priority priority,
        long deadlineNanos,
        long prefix,
        Map<String, Long> workNanos) {}
