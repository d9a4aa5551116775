package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.util.Optional;

import org.copperspindle.config.StageSettings;
import org.copperspindle.routing.UpstreamView;
import org.copperspindle.time.TimerSubscription;

/**
 * One attempt that an entry waits for.
 */
final class OpenAttempt {

    private final OpenRequest open;
    private final String id;
    private final Optional<UpstreamView> dispatchedTo;
    private final StageSettings stage;
    private final long since;
    private InetSocketAddress agent;
    private TimerSubscription timer = () -> {};
    private TimerSubscription timeout = () -> {};
    private boolean lost;

    OpenAttempt(OpenRequest open, String id, InetSocketAddress agent, Optional<UpstreamView> dispatchedTo, long since) {
        this.open = open;
        this.id = id;
        this.agent = agent;
        this.dispatchedTo = dispatchedTo;
        this.stage = open.run().stage();
        this.since = since;
    }

    OpenRequest open() {
        return open;
    }

    String id() {
        return id;
    }

    /** The upstream that counts this attempt as in flight; empty if another request dispatched it. */
    Optional<UpstreamView> dispatchedTo() {
        return dispatchedTo;
    }

    StageSettings stage() {
        return stage;
    }

    /** Instant of the dispatch, in nanoseconds of the timer service. */
    long since() {
        return since;
    }

    /** Whether the connection that it was sent on was lost. */
    boolean lost() {
        return lost;
    }

    void markLost() {
        lost = true;
    }

    InetSocketAddress agent() {
        return agent;
    }

    void agent(InetSocketAddress address) {
        agent = address;
    }

    /** Replaces the hedge or query timer of the attempt. */
    void timer(TimerSubscription subscription) {
        timer.cancel();
        timer = subscription;
    }

    void timeout(TimerSubscription subscription) {
        timeout = subscription;
    }

    void cancelTimers() {
        timer.cancel();
        timeout.cancel();
    }
}
