package org.copperspindle.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A section of a settings file with typed getters. A getter records a problem instead of throwing, so that all
 * problems are reported together; {@link #finish()} reports keys that no getter has read.
 */
public final class SettingsSection {

    private static final Pattern DURATION = Pattern.compile("(\\d+)\\s*(us|ms|s|m|h|d)");
    private static final Pattern SIZE = Pattern.compile("(\\d+)\\s*(B|KiB|MiB|GiB)?");

    private static final Duration MAX_DURATION = Duration.ofDays(365);

    private final String file;
    private final String name;
    private final Map<String, String> values;
    private final List<SettingsProblem> problems;
    private final Set<String> readKeys = new TreeSet<>();

    SettingsSection(String file, String name, Map<String, String> values, List<SettingsProblem> problems) {
        this.file = file;
        this.name = name;
        this.values = new LinkedHashMap<>(values);
        this.problems = problems;
    }

    /**
     * Returns the section's name as written.
     *
     * @return for example {@code pool engines}
     */
    public String name() {
        return name;
    }

    /**
     * Returns the part of the name after the first word.
     *
     * @return {@code engines} for {@code pool engines}; empty if there is one word only
     */
    public String subject() {
        int space = name.indexOf(' ');
        return space < 0 ? "" : name.substring(space + 1).trim();
    }

    /**
     * Reads a required string.
     *
     * @param key      the key
     * @param expected description of a valid value, for the error message
     * @return its value, empty if the key is missing
     */
    public String getString(String key, String expected) {
        return read(key, expected, Optional.empty(), "", Function.identity());
    }

    /**
     * Reads an optional string.
     *
     * @param key      the key
     * @param expected description of a valid value, for the error message
     * @param fallback value if absent
     * @return its value
     */
    public String getString(String key, String expected, String fallback) {
        return read(key, expected, Optional.of(fallback), fallback, Function.identity());
    }

    /**
     * Reads a whole number within bounds.
     *
     * @param key      the key
     * @param min      smallest allowed
     * @param max      largest allowed
     * @param fallback value if absent, or empty if the key is required
     * @return its value
     */
    public long getLong(String key, long min, long max, Optional<Long> fallback) {
        String expected = "a whole number from " + min + " to " + max;
        return read(key, expected, fallback, min, text -> {
            long value = Long.parseLong(text);
            require(value >= min && value <= max);
            return value;
        });
    }

    /**
     * Reads a decimal number within bounds.
     *
     * @param key      the key
     * @param min      smallest allowed
     * @param max      largest allowed
     * @param fallback value if absent, or empty if the key is required
     * @return its value
     */
    public double getDouble(String key, double min, double max, Optional<Double> fallback) {
        String expected = "a number from " + min + " to " + max;
        return read(key, expected, fallback, min, text -> {
            double value = Double.parseDouble(text);
            require(value >= min && value <= max);
            return value;
        });
    }

    /**
     * Reads {@code true} or {@code false}.
     *
     * @param key      the key
     * @param fallback value if absent, or empty if the key is required
     * @return its value
     */
    public boolean getBoolean(String key, Optional<Boolean> fallback) {
        return read(key, "true or false", fallback, false, text -> {
            require("true".equals(text) || "false".equals(text));
            return "true".equals(text);
        });
    }

    /**
     * Reads a duration such as {@code 250ms} or {@code 6s}.
     *
     * @param key      the key
     * @param fallback value if absent, or empty if the key is required
     * @return its value
     */
    public Duration getDuration(String key, Optional<Duration> fallback) {
        return read(key, "a duration such as 250ms, 6s or 2h", fallback, Duration.ZERO, SettingsSection::parseDuration);
    }

    /**
     * Reads a number of bytes such as {@code 64KiB}.
     *
     * @param key      the key
     * @param fallback value if absent, or empty if the key is required
     * @return bytes
     */
    public long getBytes(String key, Optional<Long> fallback) {
        return read(key, "a size such as 512B, 64KiB or 8MiB", fallback, 0L, SettingsSection::parseSize);
    }

    /**
     * Reads a number of bytes within bounds.
     *
     * @param key      the key
     * @param min      smallest allowed
     * @param max      largest allowed
     * @param fallback value if absent, or empty if the key is required
     * @return bytes
     */
    public long getBytes(String key, long min, long max, Optional<Long> fallback) {
        String expected = "a size such as 512B, 64KiB or 8MiB, from " + min + "B to " + max + "B";
        return read(key, expected, fallback, min, text -> {
            long value = parseSize(text);
            require(value >= min && value <= max);
            return value;
        });
    }

    /**
     * Reads an address that may be absent.
     *
     * @param key the key
     * @return the address
     */
    public Optional<InetSocketAddress> getOptionalAddress(String key) {
        return read(
                key,
                "IP:PORT",
                Optional.of(Optional.empty()),
                Optional.empty(),
                text -> Optional.of(parseAddress(text)));
    }

    /**
     * Reads an address such as {@code 127.0.0.1:7400}; host names are refused, because a process must not depend on
     * name resolution.
     *
     * @param key      the key
     * @param fallback value if absent, or empty if the key is required
     * @return the address
     */
    public InetSocketAddress getAddress(String key, Optional<InetSocketAddress> fallback) {
        InetSocketAddress none = new InetSocketAddress(0);
        return read(key, "IP:PORT", fallback, none, SettingsSection::parseAddress);
    }

    /**
     * Reads a list of addresses separated by commas.
     *
     * @param key the key
     * @return the addresses, empty if the key is absent
     */
    public List<InetSocketAddress> getAddresses(String key) {
        return read(
                key,
                "IP:PORT, IP:PORT, ...",
                Optional.of(List.of()),
                List.of(),
                text -> split(text).stream().map(SettingsSection::parseAddress).toList());
    }

    /**
     * Reads a list of words separated by commas.
     *
     * @param key      the key
     * @param expected description of a valid value, for the error message
     * @param fallback value if absent, or empty if the key is required
     * @return the words
     */
    public List<String> getList(String key, String expected, Optional<List<String>> fallback) {
        return read(key, expected, fallback, List.of(), SettingsSection::split);
    }

    /**
     * Reads an enum constant, written in lower case.
     *
     * @param key      the key
     * @param type     the enumeration
     * @param fallback value if absent, or empty if the key is required
     * @param <E>      the enumeration
     * @return its value
     */
    public <E extends Enum<E>> E getEnum(String key, Class<E> type, Optional<E> fallback) {
        E[] constants = type.getEnumConstants();
        String expected = "one of "
                + Arrays.stream(constants)
                        .map(c -> c.name().toLowerCase(Locale.ROOT))
                        .collect(Collectors.joining(", "));
        return read(key, expected, fallback, constants[0], text -> Enum.valueOf(type, text.toUpperCase(Locale.ROOT)));
    }

    /**
     * Records a problem with a key.
     *
     * @param key      the key, empty for the whole section
     * @param problem  what is wrong
     * @param expected what is expected
     */
    public void reject(String key, String problem, String expected) {
        problems.add(new SettingsProblem(file, name, key, problem, expected));
    }

    /** Reports the keys that no getter has read. */
    public void finish() {
        for (String key : values.keySet()) {
            if (!readKeys.contains(key)) {
                reject(key, "unknown key", "one of " + String.join(", ", readKeys));
            }
        }
    }

    /**
     * Splits a comma-separated list.
     *
     * @param text the list
     * @return its trimmed, non-empty items
     */
    static List<String> split(String text) {
        return Arrays.stream(text.split(","))
                .map(String::trim)
                .filter(s -> !s.isEmpty())
                .toList();
    }

    private <T> T read(String key, String expected, Optional<T> fallback, T invalid, Function<String, T> parser) {
        readKeys.add(key);
        String text = values.get(key);
        if (text == null) {
            if (fallback.isEmpty()) {
                reject(key, "missing", expected);
            }
            return fallback.orElse(invalid);
        }
        try {
            return parser.apply(text.trim());
        } catch (IllegalArgumentException | ArithmeticException e) {
            reject(key, "bad value '" + text + "'", expected);
            return invalid;
        }
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new IllegalArgumentException();
        }
    }

    private static Duration parseDuration(String text) {
        Matcher matcher = DURATION.matcher(text);
        require(matcher.matches());
        long amount = Long.parseLong(matcher.group(1));
        Duration duration = switch (matcher.group(2)) {
            case "us" -> Duration.ofNanos(Math.multiplyExact(amount, 1000L));
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            case "m" -> Duration.ofMinutes(amount);
            case "h" -> Duration.ofHours(amount);
            default -> Duration.ofDays(amount);
        };
        // Longer durations overflow when converted to nanoseconds, in code that no longer knows the key.
        require(duration.compareTo(MAX_DURATION) <= 0);
        return duration;
    }

    private static long parseSize(String text) {
        Matcher matcher = SIZE.matcher(text);
        require(matcher.matches());
        long amount = Long.parseLong(matcher.group(1));
        String unit = matcher.group(2) == null ? "B" : matcher.group(2);
        return switch (unit) {
            case "KiB" -> Math.multiplyExact(amount, 1L << 10);
            case "MiB" -> Math.multiplyExact(amount, 1L << 20);
            case "GiB" -> Math.multiplyExact(amount, 1L << 30);
            default -> amount;
        };
    }

    /**
     * Parses an address that is part of a longer value.
     *
     * @param text IP:PORT
     * @return the address, if the text is one
     */
    public static Optional<InetSocketAddress> findAddress(String text) {
        try {
            return Optional.of(parseAddress(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        require(colon > 0);
        String host = text.substring(0, colon).replace("[", "").replace("]", "");
        require(io.netty.util.NetUtil.isValidIpV4Address(host) || io.netty.util.NetUtil.isValidIpV6Address(host));
        int port = Integer.parseInt(text.substring(colon + 1));
        require(port >= 0 && port <= 65535);
        return new InetSocketAddress(host, port);
    }
}
