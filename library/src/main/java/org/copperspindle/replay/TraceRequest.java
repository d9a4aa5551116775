package org.copperspindle.replay;

import java.util.Map;

import org.copperspindle.config.Priority;

/**
 * One request of a trace.
 *
 * @param atNanos       arrival since the start of the trace
 * @param account       client account
 * @param pipeline      pipeline or plain service
 * @param priority      priority asked for
 * @param deadlineNanos time from arrival by which the whole answer is due
 * @param prefix        identity of the prompt's prefix, 0 for none
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
