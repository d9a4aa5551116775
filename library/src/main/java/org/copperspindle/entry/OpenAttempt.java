package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.util.Optional;

import org.copperspindle.routing.UpstreamView;
import org.copperspindle.time.TimerSubscription;

/**
 * One attempt that an entry waits for.
 */
final class OpenAttempt {

    private final OpenRequest open;
    private final String id;
    private final Optional<UpstreamView> dispatchedTo;
    private InetSocketAddress agent;
    private TimerSubscription timer = () -> {};

    OpenAttempt(OpenRequest open, String id, InetSocketAddress agent, Optional<UpstreamView> dispatchedTo) {
        this.open = open;
        this.id = id;
        this.agent = agent;
        this.dispatchedTo = dispatchedTo;
    }

    OpenRequest open() {
        return open;
    }

    String id() {
        return id;
    }

    /** The upstream that counts this attempt as in flight; empty for one of another arrival. */
    Optional<UpstreamView> dispatchedTo() {
        return dispatchedTo;
    }

    InetSocketAddress agent() {
        return agent;
    }

    void agent(InetSocketAddress address) {
        agent = address;
    }

    /** Replaces the attempt's timer. */
    void timer(TimerSubscription subscription) {
        timer.cancel();
        timer = subscription;
    }
}
