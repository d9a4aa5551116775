package org.copperspindle.logging;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.ExtendedLoggerWrapper;

/**
 * A logger that writes {@code ts=UNIX_MILLIS level=LEVEL logger=CLASS MESSAGE}, and the stack trace of an exception behind it.
 */
final class LineLogger extends ExtendedLoggerWrapper {

    private static final long serialVersionUID = 1L;

    private static final int USUAL_LENGTH = 200;

    private final transient LineWriter writer;
    private final String shortName;

    /**
     * Creates a logger.
     *
     * @param levels its levels; nothing is written by it
     * @param writer writes its lines
     */
    LineLogger(ExtendedLogger levels, LineWriter writer) {
        super(levels, levels.getName(), levels.getMessageFactory());
        this.writer = writer;
        this.shortName = levels.getName().substring(levels.getName().lastIndexOf('.') + 1);
    }

    @Override
    public void logMessage(String caller, Level of, Marker marker, Message message, Throwable thrown) {
        boolean limited = of.isLessSpecificThan(Level.WARN);
        if (limited && !writer.takesLimited()) {
            return;
        }
        StringBuilder line = new StringBuilder(USUAL_LENGTH)
                .append("ts=")
                .append(System.currentTimeMillis())
                .append(" level=")
                .append(of.name())
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
