package org.copperspindle.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;

/**
 * Says which sections and keys differ between two configurations, without showing secrets.
 */
public final class ConfigDifference {

    private static final int MAX_LINES = 64;
    private static final int MAX_VALUE = 64;
    private static final int DIGEST_SHOWN = 8;
    private static final List<String> SECRET_WORDS = List.of("key", "secret", "token", "password");

    private final List<String> lines = new ArrayList<>();
    private int left;

    private ConfigDifference() {}

    /**
     * Compares two INI texts.
     *
     * @param before the older one
     * @param after  the newer one
     * @return one line for each section or key that differs, sorted, at most a fixed number and then a count
     */
    public static List<String> between(String before, String after) {
        try {
            ConfigDifference difference = new ConfigDifference();
            difference.compare(
                    SettingsFile.parse("before", before).values(),
                    SettingsFile.parse("after", after).values());
            return difference.result();
        } catch (SettingsException e) {
            // Accepted texts were parsed before they were proposed; a member must still not fail on one that was not.
            return List.of("not comparable");
        }
    }

    private void compare(Map<String, Map<String, String>> before, Map<String, Map<String, String>> after) {
        TreeSet<String> sections = new TreeSet<>(before.keySet());
        sections.addAll(after.keySet());
        for (String section : sections) {
            if (!before.containsKey(section)) {
                add("+ [" + section + "]");
            } else if (!after.containsKey(section)) {
                add("- [" + section + "]");
            } else {
                compareKeys(section, before.get(section), after.get(section));
            }
        }
    }

    private void compareKeys(String section, Map<String, String> before, Map<String, String> after) {
        TreeSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            String old = before.get(key);
            String now = after.get(key);
            if (old == null || !old.equals(now)) {
                add("~ [" + section + "] " + key + ": " + shown(key, old) + " -> " + shown(key, now));
            }
        }
    }

    private void add(String line) {
        if (lines.size() < MAX_LINES) {
            lines.add(line);
        } else {
            left++;
        }
    }

    private List<String> result() {
        if (left > 0) {
            lines.add("and " + left + " more");
        }
        return List.copyOf(lines);
    }

    private static String shown(String key, String value) {
        if (value == null) {
            return "(none)";
        }
        String lower = key.toLowerCase(Locale.ROOT);
        boolean secret = SECRET_WORDS.stream().anyMatch(lower::contains);
        int longest = secret ? DIGEST_SHOWN : MAX_VALUE;
        if (secret && !lower.contains("sha256")) {
            return "(hidden)";
        }
        return value.length() <= longest ? value : value.substring(0, longest) + "...";
    }
}
