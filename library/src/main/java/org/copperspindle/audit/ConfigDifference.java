package org.copperspindle.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Lists the sections and keys that differ between two configurations, without revealing secrets.
 */
public final class ConfigDifference {

    /**
     * Both separators that the INI library accepts. If one were missed, the value would count as part of the key, and a
     * secret would be revealed.
     */
    private static final Pattern SEPARATOR = Pattern.compile("\\s*[=:]\\s*");

    private static final int MAX_LINES = 64;
    private static final int MAX_VALUE_LENGTH = 64;
    private static final int SHOWN_DIGEST_LENGTH = 8;
    private static final List<String> SECRET_WORDS = List.of("key", "secret", "token", "password");

    private final List<String> lines = new ArrayList<>();
    private int omitted;

    private ConfigDifference() {}

    /**
     * Compares two INI texts.
     *
     * @param before the older one
     * @param after  the newer one
     * @return one line for each section or key that differs, sorted; after a fixed number of lines the rest is counted
     *     in a last line
     */
    public static List<String> between(String before, String after) {
        ConfigDifference difference = new ConfigDifference();
        difference.compare(values(before), values(after));
        return difference.result();
    }

    /**
     * Splits a text into sections, keys and values. Both texts were validated by the settings package before they were
     * proposed. Parsing them again with its INI library would block the decision ring for seconds at the design size.
     */
    private static Map<String, Map<String, String>> values(String text) {
        Map<String, Map<String, String>> sections = new HashMap<>();
        Map<String, String> section = new HashMap<>();
        for (String line : text.lines().map(String::trim).toList()) {
            if (line.startsWith("[") && line.endsWith("]")) {
                section = sections.computeIfAbsent(line.substring(1, line.length() - 1), name -> new HashMap<>());
            } else if (!line.isEmpty() && !line.startsWith(";") && !line.startsWith("#")) {
                String[] parts = SEPARATOR.split(line, 2);
                section.put(parts[0], parts.length < 2 ? "" : parts[1]);
            }
        }
        return sections;
    }

    private void compare(Map<String, Map<String, String>> before, Map<String, Map<String, String>> after) {
        TreeSet<String> sections = new TreeSet<>(before.keySet());
        sections.addAll(after.keySet());
        for (String section : sections) {
            if (!before.containsKey(section)) {
                addLine("+ [" + section + "]");
            } else if (!after.containsKey(section)) {
                addLine("- [" + section + "]");
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
                addLine("~ [" + section + "] " + key + ": " + displayValue(key, old) + " -> " + displayValue(key, now));
            }
        }
    }

    private void addLine(String line) {
        if (lines.size() < MAX_LINES) {
            lines.add(line);
        } else {
            omitted++;
        }
    }

    private List<String> result() {
        if (omitted > 0) {
            lines.add("and " + omitted + " more");
        }
        return List.copyOf(lines);
    }

    private static String displayValue(String key, String value) {
        if (value == null) {
            return "(none)";
        }
        String lower = key.toLowerCase(Locale.ROOT);
        boolean secret = SECRET_WORDS.stream().anyMatch(lower::contains);
        int maxLength = secret ? SHOWN_DIGEST_LENGTH : MAX_VALUE_LENGTH;
        if (secret && !lower.contains("sha256")) {
            return "(hidden)";
        }
        return value.length() <= maxLength ? value : value.substring(0, maxLength) + "...";
    }
}
