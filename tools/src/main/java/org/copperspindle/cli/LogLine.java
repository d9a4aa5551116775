package org.copperspindle.cli;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed line of the log of a process.
 *
 * @param process name of the process: the last word before the timestamp, or the log file's name
 * @param millis  timestamp by the clock of that process, milliseconds
 * @param text    the line from {@code event=} on
 */
record LogLine(String process, long millis, String text) {

    private static final Pattern LINE = Pattern.compile("^(.*?)ts=(\\d+) level=\\S+ logger=\\S+ (event=.*)$");
    private static final Pattern EVENT = Pattern.compile("event=(\\S+)");

    /** Parses a line; empty if it has another format, such as a line of a stack trace. */
    static Optional<LogLine> parse(String line, String source) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String[] wordsBeforeTimestamp = matcher.group(1).trim().split("\\s+");
        String process = wordsBeforeTimestamp[wordsBeforeTimestamp.length - 1];
        return Optional.of(
                new LogLine(process.isEmpty() ? source : process, Long.parseLong(matcher.group(2)), matcher.group(3)));
    }

    String event() {
        Matcher matcher = EVENT.matcher(text);
        return matcher.lookingAt() ? matcher.group(1) : "";
    }

    /** Returns the value of the first {@code key=value} pair with this key. */
    Optional<String> value(String key) {
        Matcher matcher =
                Pattern.compile("(?:^| )" + Pattern.quote(key) + "=(\\S+)").matcher(text);
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    /** Returns whether the line names the request, alone or in a list of requests. */
    boolean concerns(String request) {
        if (value("request").filter(request::equals).isPresent()) {
            return true;
        }
        Matcher matcher = Pattern.compile("requests=\\[([^]]*)]").matcher(text);
        return matcher.find()
                && Pattern.compile("(^|[ ,])" + Pattern.quote(request) + "([ ,]|$)")
                        .matcher(matcher.group(1))
                        .find();
    }

    LogLine withOffset(long offsetMillis) {
        return new LogLine(process, millis + offsetMillis, text);
    }
}
