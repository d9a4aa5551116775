package org.copperspindle.fleet;

import java.util.Optional;

/**
 * The name of a model or adapter that an engine serves: {@code model}, {@code model@version}, {@code model+adapter} or
 * {@code model+adapter@version}.
 *
 * @param base    the model
 * @param adapter the adapter on it
 * @param version the version of the adapter, or of the model if there is no adapter
 */
public record ModelName(String base, Optional<String> adapter, Optional<String> version) {

    private static final char VERSION_SEPARATOR = '@';
    private static final char ADAPTER_SEPARATOR = '+';

    /**
     * Parses a name.
     *
     * @param name the name
     * @return its parts
     */
    public static ModelName parse(String name) {
        int at = name.lastIndexOf(VERSION_SEPARATOR);
        String unversioned = at < 0 ? name : name.substring(0, at);
        int plus = unversioned.indexOf(ADAPTER_SEPARATOR);
        return new ModelName(
                plus < 0 ? unversioned : unversioned.substring(0, plus),
                plus < 0 ? Optional.empty() : Optional.of(unversioned.substring(plus + 1)),
                at < 0 ? Optional.empty() : Optional.of(name.substring(at + 1)));
    }

    /**
     * Returns the name that all versions of a model or adapter have in common.
     *
     * @return the name without its version
     */
    public String family() {
        return adapter.map(a -> base + ADAPTER_SEPARATOR + a).orElse(base);
    }
}
