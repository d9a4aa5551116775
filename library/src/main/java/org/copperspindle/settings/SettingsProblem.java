package org.copperspindle.settings;

/**
 * One fault of a settings file.
 *
 * @param file     the file as the operator named it
 * @param section  section, empty for the file as a whole
 * @param key      key, empty for the section as a whole
 * @param problem  what is wrong
 * @param expected what would be right, empty if the problem says it
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
