package org.copperspindle.dialect;

import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ids of the calls that a node makes for itself. No other call of this or another node has the same, so that a response
 * shows which call it answers. Must be used on the network thread.
 */
final class CallIds {

    private long last = ThreadLocalRandom.current().nextLong();

    /**
     * Returns the id of the next call.
     *
     * @return 16 hexadecimal digits
     */
    String next() {
        last++;
        return String.format(Locale.ROOT, "%016x", last);
    }
}
