package org.copperspindle.entry;

import java.util.regex.Pattern;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.verdict.Verdict;

/**
 * One line for each answer at the callers' door. Header fields are never written: they carry the bearer key.
 */
final class AccessLog {

    private static final Logger LOGGER = LogManager.getLogger(AccessLog.class);

    /** Other paths could carry line ends or keys of their own into the log. */
    private static final Pattern PLAIN = Pattern.compile("[\\w./~-]{1,128}");

    private AccessLog() {}

    /**
     * Writes the line.
     *
     * @param exchange  the request
     * @param requestId identity of the request, empty if it was given none
     * @param status    HTTP status
     * @param verdict   whether it ran
     * @param nanos     from the whole request to the end of its answer
     */
    static void write(HttpExchange exchange, String requestId, int status, Verdict verdict, long nanos) {
        LOGGER.info(
                "event=access request={} method={} path={} status={} verdict={} reason={} bytes={} millis={}",
                requestId,
                plain(exchange.method()),
                plain(exchange.path()),
                status,
                verdict.label(),
                verdict.reason(),
                exchange.body().length,
                nanos / 1_000_000);
    }

    private static String plain(String text) {
        return PLAIN.matcher(text).matches() ? text : "unprintable";
    }
}
