package org.copperspindle.config;

import org.copperspindle.settings.SettingsException;

/**
 * Parses and validates the complete text of a deployment.
 */
@FunctionalInterface
interface DeploymentParser {

    /**
     * Parses a text.
     *
     * @param name name used in error messages
     * @param text the INI text
     * @return the checked deployment
     * @throws SettingsException listing every problem found
     */
    Deployment parse(String name, String text) throws SettingsException;
}
