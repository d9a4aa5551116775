package org.copperspindle.logging;

import java.net.URI;

import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;

/**
 * Provides the only logger context of a process, which writes to standard output.
 */
public final class LineLoggerContextFactory implements LoggerContextFactory {

    private final LoggerContext context;

    /** Creates the factory and starts the writer thread. */
    public LineLoggerContextFactory() {
        LineWriter writer = new LineWriter(System.out, System::nanoTime);
        writer.start();
        context = new LineLoggerContext(writer);
    }

    @Override
    public LoggerContext getContext(String caller, ClassLoader loader, Object external, boolean current) {
        return context;
    }

    @Override
    public LoggerContext getContext(
            String caller, ClassLoader loader, Object external, boolean current, URI location, String name) {
        return context;
    }

    @Override
    public boolean hasContext(String caller, ClassLoader loader, boolean current) {
        return true;
    }

    @Override
    public void removeContext(LoggerContext removed) {
        // The process keeps its only context until it exits.
    }

    @Override
    public boolean isClassLoaderDependent() {
        return false;
    }
}
