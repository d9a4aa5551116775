package org.copperspindle.gateway;

import java.util.Map;
import java.util.TreeMap;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.time.TimerService;

/**
 * Counts announcements that do not identify an upstream: they are unreadable, or for a pool that the table does not
 * have. They change nothing; the counts and log lines explain why an upstream is not used.
 */
final class IgnoredAnnouncements {

    private static final Logger LOGGER = LogManager.getLogger(IgnoredAnnouncements.class);

    /** Maximum number of characters of untrusted text in a log line. */
    private static final int MAX_LOGGED_CHARS = 120;

    private final Map<String, Long> counts = new TreeMap<>();
    private final TimerService timers;
    private final LogRateLimiter log;

    IgnoredAnnouncements(TimerService timers, LogRateLimiter log) {
        this.timers = timers;
        this.log = log;
    }

    /**
     * Counts an announcement.
     *
     * @param id     id in the request path
     * @param reason why it is ignored, one of a small fixed set
     * @param detail what is wrong with it
     */
    void add(String id, String reason, String detail) {
        counts.merge(reason, 1L, Long::sum);
        if (log.allowsFailed(timers.nanoTime())) {
            LOGGER.warn(
                    "event=announcement-ignored upstream={} reason={} detail=\"{}\"",
                    sanitized(id),
                    reason,
                    sanitized(String.valueOf(detail)));
        }
    }

    /** Returns the counts by reason. */
    Map<String, Long> counts() {
        return counts;
    }

    private static String sanitized(String text) {
        String printable = text.replaceAll("[\\p{Cntrl}\"]", " ");
        return printable.length() <= MAX_LOGGED_CHARS ? printable : printable.substring(0, MAX_LOGGED_CHARS);
    }
}
