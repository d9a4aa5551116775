package org.copperspindle.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when a settings file is invalid; contains all problems found, not only the first.
 */
public final class SettingsException extends Exception {

    private final transient List<SettingsProblem> problems;

    /**
     * Creates an exception.
     *
     * @param problems problems found, at least one
     */
    public SettingsException(List<SettingsProblem> problems) {
        super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems.
     *
     * @return in the order found
     */
    public List<SettingsProblem> problems() {
        return problems;
    }
}
