package org.copperspindle.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account and its keys.
 *
 * @param name     its name
 * @param keys     keys used by its callers
 * @param priority rank that overrides the route's, 0 first; empty if the route decides
 */
public record ClientAccount(String name, List<String> keys, OptionalInt priority) {

    /** Copies the list. */
    public ClientAccount {
        keys = List.copyOf(keys);
    }
}
