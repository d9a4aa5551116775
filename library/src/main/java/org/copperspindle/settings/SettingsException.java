package org.copperspindle.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A settings file was refused; carries every fault found, not only the first.
 */
public final class SettingsException extends Exception {

    private final transient List<SettingsProblem> problems;

    /**
     * Reports faults.
     *
     * @param problems at least one
     */
    public SettingsException(List<SettingsProblem> problems) {
        super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the faults.
     *
     * @return in the order of the file
     */
    public List<SettingsProblem> problems() {
        return problems;
    }
}
