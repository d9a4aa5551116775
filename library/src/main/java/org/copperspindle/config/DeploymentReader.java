package org.copperspindle.config;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads accepted configuration texts for a member. Reading one takes tens of milliseconds at the design size, which no
 * decision thread has to spare between two tokens.
 */
@FunctionalInterface
public interface DeploymentReader {

    /**
     * Reads a text. One that still waits when a later one is handed over may be skipped: nothing is told of it.
     *
     * @param version  its version
     * @param text     the whole INI text
     * @param whenRead told on the decision thread; empty if the text can't be read
     */
    void read(long version, String text, Consumer<Optional<Deployment>> whenRead);
}
