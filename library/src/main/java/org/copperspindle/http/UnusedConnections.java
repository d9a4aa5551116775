package org.copperspindle.http;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.Channel;

/**
 * Connections on which no whole request has arrived yet, in the order in which they were accepted. When a listener has no room,
 * the oldest gives way to a new one: an ordinary caller needs a moment to send its request, and silent connections can't keep
 * such callers out. Thread-safe.
 */
final class UnusedConnections {

    private final Set<Channel> channels = new LinkedHashSet<>();

    /** Adds a connection that was accepted now. */
    synchronized void add(Channel channel) {
        channels.add(channel);
    }

    /** Removes a connection that has been used or has closed. */
    synchronized void remove(Channel channel) {
        channels.remove(channel);
    }

    /**
     * Closes the oldest connection, for the sake of a new one that has been added.
     *
     * @param newer the new connection
     * @return false if there is none that was added before the new one
     */
    boolean closeOldestBefore(Channel newer) {
        Optional<Channel> oldest = pollBefore(newer);
        oldest.ifPresent(Channel::close);
        return oldest.isPresent();
    }

    private synchronized Optional<Channel> pollBefore(Channel newer) {
        Iterator<Channel> iterator = channels.iterator();
        if (!iterator.hasNext()) {
            return Optional.empty();
        }
        Channel oldest = iterator.next();
        if (oldest == newer) {
            return Optional.empty();
        }
        iterator.remove();
        return Optional.of(oldest);
    }
}
