package org.copperspindle.logging;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.ExtendedLoggerWrapper;

/**
 * A logger that writes lines of the form {@code ts=UNIX_MILLIS level=LEVEL logger=CLASS MESSAGE}, followed by the
 * stack trace of an exception if there is one.
 */
final class LineLogger extends ExtendedLoggerWrapper {

    private static final long serialVersionUID = 1L;

    private static final int INITIAL_CAPACITY = 200;

    private final transient LineWriter writer;
    private final String shortName;

    /**
     * Creates a logger.
     *
     * @param levels logger that provides name and level only; it writes nothing
     * @param writer writes the lines
     */
    LineLogger(ExtendedLogger levels, LineWriter writer) {
        super(levels, levels.getName(), levels.getMessageFactory());
        this.writer = writer;
        this.shortName = levels.getName().substring(levels.getName().lastIndexOf('.') + 1);
    }

    @Override
    public void logMessage(String caller, Level level, Marker marker, Message message, Throwable thrown) {
        boolean rateLimited = level.isLessSpecificThan(Level.WARN);
        if (rateLimited && !writer.tryAcquireLine()) {
            return;
        }
        StringBuilder line = new StringBuilder(INITIAL_CAPACITY)
                .append("ts=")
                .append(System.currentTimeMillis())
                .append(" level=")
                .append(level.name())
                .append(" logger=")
                .append(shortName)
                .append(' ')
                .append(message.getFormattedMessage())
                .append('\n');
        if (thrown != null) {
            StringWriter trace = new StringWriter();
            thrown.printStackTrace(new PrintWriter(trace));
            line.append(trace);
        }
        writer.write(line.toString());
    }
}
