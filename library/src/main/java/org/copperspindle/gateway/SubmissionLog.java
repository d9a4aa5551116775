package org.copperspindle.gateway;

import java.time.Duration;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.version.VersionExchange;

/**
 * Logs and counts what the configurations that operators submit come to, and which of them wait for a response. Must be
 * used on the network thread.
 */
final class SubmissionLog {

    private static final Logger LOGGER = LogManager.getLogger(SubmissionLog.class);

    /** Wait after which a submission is logged; shorter than the second after which operators give up. */
    private static final Duration LONG_WAIT = Duration.ofMillis(800);

    private final TimerService timers;
    private final VersionExchange versionExchange;
    private final GatewayCounters counters;

    SubmissionLog(TimerService timers, VersionExchange versionExchange, GatewayCounters counters) {
        this.timers = timers;
        this.versionExchange = versionExchange;
        this.counters = counters;
    }

    /**
     * Follows a submission.
     *
     * @param version  its version
     * @param bytes    size of its text
     * @param callback receives its result
     * @return the callback to use in place of that one
     */
    Consumer<ControlResponse> follow(long version, int bytes, Consumer<ControlResponse> callback) {
        long begunAt = timers.nanoTime();
        TimerSubscription longWait = timers.schedule(LONG_WAIT.toNanos(), () -> logWait(version, bytes));
        return result -> {
            longWait.cancel();
            String name = name(result);
            counters.recordSubmission(name);
            LOGGER.info(
                    "event=version-asked version={} bytes={} result={} waited_ms={} leader={} {}",
                    version,
                    bytes,
                    name,
                    Duration.ofNanos(timers.nanoTime() - begunAt).toMillis(),
                    leader(),
                    detail(result));
            callback.accept(result);
        };
    }

    private void logWait(long version, int bytes) {
        counters.recordSubmission("waits");
        LOGGER.warn(
                "event=version-waits version={} bytes={} waited_ms={} leader={}",
                version,
                bytes,
                LONG_WAIT.toMillis(),
                leader());
    }

    private String leader() {
        return versionExchange.leader().orElse("none");
    }

    private static String name(ControlResponse result) {
        return result instanceof ControlResponse.Recorded
                ? "recorded"
                : result.getClass().getSimpleName();
    }

    private static String detail(ControlResponse result) {
        if (result instanceof ControlResponse.Recorded recorded) {
            return "newest=" + recorded.version();
        }
        if (result instanceof ControlResponse.Elsewhere elsewhere) {
            return "control=" + elsewhere.control();
        }
        if (result instanceof ControlResponse.Unavailable unavailable) {
            return "reason=\"" + unavailable.reason() + '"';
        }
        return "problem=\"" + ((ControlResponse.Invalid) result).problem() + '"';
    }
}
