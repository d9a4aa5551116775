package org.copperspindle.config;

import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.settings.SettingsException;

/**
 * Parses on the calling thread, for callers that may block and for simulations in virtual time.
 */
public final class DirectDeploymentReader implements DeploymentReader {

    private static final Logger LOGGER = LogManager.getLogger(DirectDeploymentReader.class);

    private final DeploymentParser parser;

    /** Creates a reader that parses with {@link DeploymentLoader}. */
    public DirectDeploymentReader() {
        this(DeploymentLoader::parse);
    }

    DirectDeploymentReader(DeploymentParser parser) {
        this.parser = parser;
    }

    @Override
    public void read(long version, String text, Consumer<Optional<Deployment>> callback) {
        callback.accept(parse(version, text));
    }

    private Optional<Deployment> parse(long version, String text) {
        try {
            return Optional.of(parser.parse("version " + version, text));
        } catch (SettingsException | RuntimeException e) {
            // Control validates a configuration before it accepts it, so this build must be older than the
            // configuration and could apply only part of it. The version is never reported as in force, so the lease of
            // this member expires.
            LOGGER.error("event=config-unreadable version={}", version, e);
            return Optional.empty();
        }
    }
}
