package org.copperspindle.replay;

import java.util.Map;

import org.copperspindle.config.Priority;

/**
 * A stream of like requests, expanded into {@link TraceRequest}s by the trace's seed: Poisson arrivals, log-normal
 * work, few prefixes that most requests share.
 *
 * @param fromNanos     start
 * @param untilNanos    end
 * @param perSecond     mean arrivals in a second
 * @param account       client account
 * @param pipeline      pipeline or plain service
 * @param priority      priority asked for
 * @param deadlineNanos time from arrival by which the whole answer is due
 * @param prefixes      number of distinct prefixes, 0 for none
 * @param workNanos     median time that each stage takes on an idle upstream, by stage name
 * @param spread        standard deviation of the logarithm of work
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
