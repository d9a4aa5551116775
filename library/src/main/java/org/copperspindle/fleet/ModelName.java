package org.copperspindle.fleet;

import java.util.Optional;

/**
 * The name of something that an engine serves: {@code model}, {@code model@version}, {@code model+adapter} or
 * {@code model+adapter@version}.
 *
 * @param base    the model
 * @param adapter the adapter on it
 * @param version the version of the adapter, or of the model if there is no adapter
 */
public record ModelName(String base, Optional<String> adapter, Optional<String> version) {

    private static final char VERSION = '@';
    private static final char ADAPTER = '+';

    /**
     * Takes a name apart.
     *
     * @param name the name
     * @return its parts
     */
    public static ModelName parse(String name) {
        int at = name.lastIndexOf(VERSION);
        String plain = at < 0 ? name : name.substring(0, at);
        int plus = plain.indexOf(ADAPTER);
        return new ModelName(
                plus < 0 ? plain : plain.substring(0, plus),
                plus < 0 ? Optional.empty() : Optional.of(plain.substring(plus + 1)),
                at < 0 ? Optional.empty() : Optional.of(name.substring(at + 1)));
    }

    /**
     * Returns what versions of the same thing have in common.
     *
     * @return the name without its version
     */
    public String family() {
        return adapter.map(a -> base + ADAPTER + a).orElse(base);
    }
}
