package org.copperspindle.direct;

import java.util.function.Consumer;

/**
 * Finds out whether a process listens at an address.
 */
@FunctionalInterface
public interface ListenCheck {

    /**
     * Opens a connection and closes it again without a byte.
     *
     * @param address IP:PORT
     * @param result  told once, later on the network thread
     */
    void check(String address, Consumer<ListenState> result);
}
