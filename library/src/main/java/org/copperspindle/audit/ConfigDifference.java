package org.copperspindle.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Says which sections and keys differ between two configurations, without showing secrets.
 */
public final class ConfigDifference {

    /** Both separators that the INI library takes: a key that swallowed its value would show a secret. */
    private static final Pattern SEPARATOR = Pattern.compile("\\s*[=:]\\s*");

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
        ConfigDifference difference = new ConfigDifference();
        difference.compare(values(before), values(after));
        return difference.result();
    }

    /**
     * Splits lines into sections, keys and values. Both texts were checked by the settings package before they were
     * proposed. Reading them with its INI library again would hold the decision ring up for seconds at the design size.
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
