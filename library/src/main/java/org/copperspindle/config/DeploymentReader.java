package org.copperspindle.config;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Parses accepted configuration texts for a member. Parsing takes tens of milliseconds at the design size, too long for
 * a decision thread, which would delay the next token of every stream.
 */
@FunctionalInterface
public interface DeploymentReader {

    /**
     * Parses a text. A text that is still queued when a later one is submitted may be skipped; its callback is then
     * never called.
     *
     * @param version  its version
     * @param text     the whole INI text
     * @param callback receives the deployment on the decision thread; empty if the text is invalid
     */
    void read(long version, String text, Consumer<Optional<Deployment>> callback);
}
