package org.copperspindle.settings;

/**
 * A problem in a settings file.
 *
 * @param file     file name as the operator gave it
 * @param section  section, empty if the problem concerns the whole file
 * @param key      key, empty if the problem concerns the whole section
 * @param problem  what is wrong
 * @param expected what is expected, empty if the problem text makes it clear
 */
public record SettingsProblem(String file, String section, String key, String problem, String expected) {

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file);
        if (!section.isEmpty()) {
            text.append(": [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            text.append(' ').append(key);
        }
        text.append(": ").append(problem);
        if (!expected.isEmpty()) {
            text.append("; expected ").append(expected);
        }
        return text.toString();
    }
}
