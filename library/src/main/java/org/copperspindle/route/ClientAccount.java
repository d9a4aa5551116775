package org.copperspindle.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account and its keys.
 *
 * @param name     its name
 * @param keys     keys used by its callers
 * @param priority rank that overrides the route's, 0 first; empty if the route decides
 * @param weight   share of scarce capacity relative to other accounts of the same rank; above 0
 */
public record ClientAccount(String name, List<String> keys, OptionalInt priority, double weight) {

    /** Weight of an account whose configuration has none. */
    public static final double DEFAULT_WEIGHT = 1;

    /** Copies the list. */
    public ClientAccount {
        keys = List.copyOf(keys);
    }

    /**
     * Creates an account with the default weight.
     *
     * @param name     its name
     * @param keys     keys used by its callers
     * @param priority rank that overrides the route's, 0 first; empty if the route decides
     */
    public ClientAccount(String name, List<String> keys, OptionalInt priority) {
        this(name, keys, priority, DEFAULT_WEIGHT);
    }
}
