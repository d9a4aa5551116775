package org.copperspindle.logging;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.simple.SimpleLoggerContext;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.Terminable;

/**
 * The loggers of a process by name.
 */
final class LineLoggerContext implements LoggerContext, Terminable {

    /** Netty's warnings concern broken connections, which the node logs itself, so only Netty's errors are logged. */
    private static final String NETTY_PREFIX = "io.netty";

    /** Longest wait for the last lines at exit: the reader of standard output may have stopped. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(200);

    private final Map<String, LineLogger> loggers = new ConcurrentHashMap<>();

    /** Log4j's simple loggers, used only for their levels. */
    private final SimpleLoggerContext levels = new SimpleLoggerContext();

    private final LineWriter writer;

    LineLoggerContext(LineWriter writer) {
        this.writer = writer;
    }

    @Override
    public Object getExternalContext() {
        return null;
    }

    @Override
    public ExtendedLogger getLogger(String name) {
        return loggers.computeIfAbsent(name, this::open);
    }

    @Override
    public ExtendedLogger getLogger(String name, MessageFactory messages) {
        return getLogger(name);
    }

    @Override
    public boolean hasLogger(String name) {
        return loggers.containsKey(name);
    }

    @Override
    public boolean hasLogger(String name, MessageFactory messages) {
        return hasLogger(name);
    }

    @Override
    public boolean hasLogger(String name, Class<? extends MessageFactory> messages) {
        return hasLogger(name);
    }

    /** Flushes the last lines before the process exits. */
    @Override
    public void terminate() {
        try {
            writer.flush(FLUSH_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private LineLogger open(String name) {
        SimpleLogger simple = (SimpleLogger) levels.getLogger(name);
        simple.setLevel(level(name));
        return new LineLogger(simple, writer);
    }

    private static Level level(String name) {
        return name.startsWith(NETTY_PREFIX) ? Level.ERROR : Level.INFO;
    }
}
