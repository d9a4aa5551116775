package org.copperspindle.config;

import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.settings.SettingsException;

/**
 * Reads in place, for callers that may wait and for virtual time.
 */
public final class DirectDeploymentReader implements DeploymentReader {

    private static final Logger LOGGER = LogManager.getLogger(DirectDeploymentReader.class);

    private final DeploymentParser parser;

    /** Creates a reader of deployment files. */
    public DirectDeploymentReader() {
        this(DeploymentLoader::parse);
    }

    DirectDeploymentReader(DeploymentParser parser) {
        this.parser = parser;
    }

    @Override
    public void read(long version, String text, Consumer<Optional<Deployment>> whenRead) {
        whenRead.accept(parse(version, text));
    }

    private Optional<Deployment> parse(long version, String text) {
        try {
            return Optional.of(parser.parse("version " + version, text));
        } catch (SettingsException | RuntimeException e) {
            // Control checks before it accepts, so this build is older than the configuration: don't serve it half. The
            // version is never reported, so that the lease runs out.
            LOGGER.error("event=config-unreadable version={}", version, e);
            return Optional.empty();
        }
    }
}
