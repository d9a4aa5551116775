package org.copperspindle.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param name     its name
 * @param keys     keys that its callers use
 * @param priority rank that goes before the route's, 0 first; empty if the route decides
 */
public record ClientAccount(String name, List<String> keys, OptionalInt priority) {

    /** Copies the list. */
    public ClientAccount {
        keys = List.copyOf(keys);
    }
}
