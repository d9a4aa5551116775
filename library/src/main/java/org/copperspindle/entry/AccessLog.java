package org.copperspindle.entry;

import java.util.regex.Pattern;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.verdict.Verdict;

/**
 * Writes the access log, one line per response to a caller. Header fields are never logged: they carry the bearer key.
 */
final class AccessLog {

    private static final Logger LOGGER = LogManager.getLogger(AccessLog.class);

    /** Paths that may be logged; others could inject line breaks or keys into the log. */
    private static final Pattern PLAIN = Pattern.compile("[\\w./~-]{1,128}");

    private AccessLog() {}

    /**
     * Logs one response.
     *
     * @param exchange  the request
     * @param requestId identity of the request, empty if none was assigned
     * @param status    HTTP status
     * @param verdict   whether it ran
     * @param nanos     time from the receipt of the whole request to the end of its response
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
