package org.copperspindle.direct;

import java.util.function.Consumer;

/**
 * Checks whether a process listens at an address.
 */
@FunctionalInterface
public interface ListenCheck {

    /**
     * Opens a connection and closes it without sending a byte.
     *
     * @param address IP:PORT
     * @param result  called once, later on the network thread
     */
    void check(String address, Consumer<ListenState> result);
}
