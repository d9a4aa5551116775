package org.copperspindle.cli;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a process's log.
 *
 * @param process name of the process: what stands before the line's time, or the file it was read from
 * @param millis  time of day at that process, milliseconds
 * @param text    the line from its event on
 */
record LogLine(String process, long millis, String text) {

    private static final Pattern LINE = Pattern.compile("^(.*?)ts=(\\d+) level=\\S+ logger=\\S+ (event=.*)$");
    private static final Pattern EVENT = Pattern.compile("event=(\\S+)");

    /** Parses a line; empty if it is none of ours, such as a part of a stack trace. */
    static Optional<LogLine> parse(String line, String source) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String[] before = matcher.group(1).trim().split("\\s+");
        String process = before[before.length - 1];
        return Optional.of(
                new LogLine(process.isEmpty() ? source : process, Long.parseLong(matcher.group(2)), matcher.group(3)));
    }

    String event() {
        Matcher matcher = EVENT.matcher(text);
        return matcher.lookingAt() ? matcher.group(1) : "";
    }

    /** Returns the value of a key. */
    Optional<String> value(String key) {
        Matcher matcher =
                Pattern.compile("(?:^| )" + Pattern.quote(key) + "=(\\S+)").matcher(text);
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    /** Says whether the line is about a request, alone or among others. */
    boolean isAbout(String request) {
        if (value("request").filter(request::equals).isPresent()) {
            return true;
        }
        Matcher matcher = Pattern.compile("requests=\\[([^]]*)]").matcher(text);
        return matcher.find()
                && Pattern.compile("(^|[ ,])" + Pattern.quote(request) + "([ ,]|$)")
                        .matcher(matcher.group(1))
                        .find();
    }

    LogLine shifted(long by) {
        return new LogLine(process, millis + by, text);
    }
}
