package org.copperspindle.overload;

import java.util.OptionalInt;
import java.util.function.BooleanSupplier;

import org.copperspindle.http.ConnectionAdmission;

/**
 * Decides which new connections of callers a node takes. A balancer may send most of them to one node. Those that it can't
 * serve are closed before anything of them is read: their callers try another node at once, and requests that have been
 * read are served as before.
 */
public final class ShedConnections implements ConnectionAdmission {

    /** Maximum number of open connections, whatever the process may open: each takes memory. */
    static final int MAX_CONNECTIONS = 2500;

    /** Part of the descriptors of the process that callers may take; upstreams and other nodes need the rest. */
    static final double CALLER_SHARE = 0.5;

    private final int maxConnections;
    private final BooleanSupplier tryAdmit;

    /**
     * Creates the decision.
     *
     * @param descriptors sockets and files that the process may open; empty if unknown
     * @param tryAdmit    takes one more connection unless the node is overloaded
     */
    public ShedConnections(OptionalInt descriptors, BooleanSupplier tryAdmit) {
        this.maxConnections = descriptors.isPresent()
                ? Math.min(MAX_CONNECTIONS, (int) (descriptors.getAsInt() * CALLER_SHARE))
                : MAX_CONNECTIONS;
        this.tryAdmit = tryAdmit;
    }

    @Override
    public boolean admits(int openConnections) {
        return hasRoom(openConnections) && tryAdmit.getAsBoolean();
    }

    @Override
    public boolean hasRoom(int openConnections) {
        return openConnections <= maxConnections;
    }
}
