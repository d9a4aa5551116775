package org.copperspindle.config;

import org.copperspindle.settings.SettingsException;

/**
 * Parses and checks the text of a deployment as a whole.
 */
@FunctionalInterface
interface DeploymentParser {

    /**
     * Parses a text.
     *
     * @param name name for error messages
     * @param text the INI text
     * @return the checked deployment
     * @throws SettingsException with every fault found
     */
    Deployment parse(String name, String text) throws SettingsException;
}
