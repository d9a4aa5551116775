package org.copperspindle.replay;

import java.util.Map;

import org.copperspindle.config.Priority;

/**
 * A load of similar requests, expanded into {@link TraceRequest}s with the trace's seed: Poisson arrivals,
 * log-normal work, and a skewed choice of prompt prefixes.
 *
 * @param fromNanos     start
 * @param untilNanos    end
 * @param perSecond     mean arrival rate per second
 * @param account       client account
 * @param pipeline      pipeline or plain service
 * @param priority      requested priority
 * @param deadlineNanos time from arrival to the deadline of the complete response
 * @param prefixes      number of distinct prompt prefixes, 0 for none
 * @param workNanos     median time that each stage takes on an idle upstream, by stage name
 * @param spread        standard deviation of the natural logarithm of work
 */
public record TraceLoad(
        long fromNanos,
        long untilNanos,
        double perSecond,
        String account,
        String pipeline,
        Priority priority,
        long deadlineNanos,
        int prefixes,
        Map<String, Long> workNanos,
        double spread) {}
