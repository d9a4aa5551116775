package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.wire.RequestNumbers;
import org.copperspindle.wire.WireMessage;

/**
 * Permits for requests to upstreams that announced a limit. For each such upstream one node owns the limit and grants
 * one permit per request, so that the sum over all nodes is bounded however many there are, and any of them may use
 * the available rate. A node that gets no response does not send. Network thread only.
 */
public final class SendPermits {

    private static final Logger LOGGER = LogManager.getLogger(SendPermits.class);

    /**
     * Timeout of a permit request: an owner that has not responded by then is paused or isolated; a response takes a
     * few milliseconds.
     */
    private static final long RESPONSE_TIMEOUT_NANOS = Duration.ofMillis(60).toNanos();

    /** Delay of the next permit request after a timeout, or while the owner of the limit is unknown. */
    private static final long RETRY_NANOS = Duration.ofMillis(250).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final UpstreamLimits limits;
    private final LimitOwnerSelector owners;
    private final Link link;
    private final TimerService timers;
    private final SendSlots slots = new SendSlots();
    private final Map<String, Long> deniedUntil = new HashMap<>();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final RequestNumbers numbers = new RequestNumbers();
    private long unanswered;

    /**
     * Creates the permits of this node.
     *
     * @param limits the limits
     * @param owners selects the owners of the limits
     * @param link   sends to other nodes
     * @param timers timers of the network thread
     */
    public SendPermits(UpstreamLimits limits, LimitOwnerSelector owners, Link link, TimerService timers) {
        this.limits = limits;
        this.owners = owners;
        this.link = link;
        this.timers = timers;
    }

    /**
     * Returns whether requests to an upstream need a permit.
     *
     * @param upstream its id
     * @return false if it has no limit
     */
    public boolean isNeeded(String upstream) {
        return limits.find(upstream).isPresent();
    }

    /**
     * Returns the interval between requests of all nodes to an upstream.
     *
     * @param upstream its id
     * @return nanoseconds; 0 if it has no limit, or no longer has one
     */
    public long spacingNanos(String upstream) {
        OptionalDouble perSecond = limits.find(upstream);
        return perSecond.isPresent() ? SendSlots.spacingNanos(perSecond.getAsDouble()) : 0;
    }

    /**
     * Returns whether any upstream needs permits.
     *
     * @return false while none has a limit
     */
    public boolean isAnyNeeded() {
        return limits.isAnyKnown();
    }

    /**
     * Returns how long permit requests for an upstream are not worthwhile.
     *
     * @param upstream id of the upstream
     * @return nanoseconds; 0 if a permit may be available or is not needed
     */
    public long deniedNanos(String upstream) {
        Long until = deniedUntil.get(upstream);
        return until == null || !isNeeded(upstream) ? 0 : Math.max(0, until - timers.nanoTime());
    }

    /**
     * Requests a permit. The callback may be called before this method returns.
     *
     * @param upstream     id of the upstream
     * @param maxWaitNanos nanoseconds within which the permit must become valid
     * @param callback     called once with the result
     */
    public void requestPermit(String upstream, long maxWaitNanos, Consumer<PermitResult> callback) {
        PendingRequest request = new PendingRequest(upstream, callback);
        Optional<String> owner = owners.owner(upstream);
        if (owner.filter(link.self()::equals).isPresent()) {
            request.complete(grant(upstream, maxWaitNanos));
            return;
        }
        long number = numbers.next();
        PermitRequestMessage message = new PermitRequestMessage(number, upstream, maxWaitNanos / NANOS_PER_MILLI);
        if (owner.isEmpty() || !link.send(owner.get(), message)) {
            request.complete(new PermitResult.Denied(RETRY_NANOS));
            return;
        }
        pending.put(number, request);
        request.timeout = timers.schedule(RESPONSE_TIMEOUT_NANOS, () -> onTimeout(number, owner.get()));
    }

    /**
     * Returns whether this node owns the limit of an upstream and may send to it now.
     *
     * @param upstream its id
     * @return true also if no permit is needed
     */
    public boolean mayTake(String upstream) {
        return !isNeeded(upstream)
                || isOwner(upstream) && slots.waitNanos(upstream, spacingNanos(upstream), timers.nanoTime()) == 0;
    }

    /**
     * Takes a permit that is available according to {@link #mayTake}.
     *
     * @param upstream id of the upstream
     */
    public void take(String upstream) {
        if (isNeeded(upstream)) {
            grant(upstream, 0);
        }
    }

    /**
     * Handles a message of another node.
     *
     * @param node    its name
     * @param message the message; all but permit requests and responses are ignored
     */
    public void onMessage(String node, WireMessage message) {
        if (message instanceof PermitRequestMessage request) {
            // A node with a different view of the mesh may ask the wrong node for a moment; two owners would grant
            // twice the limit.
            PermitResult result = isOwner(request.upstream())
                    ? grant(request.upstream(), request.maxWaitMillis() * NANOS_PER_MILLI)
                    : new PermitResult.Denied(RETRY_NANOS);
            link.send(node, PermitResponseMessage.of(request.number(), result));
        } else if (message instanceof PermitResponseMessage response) {
            Optional.ofNullable(pending.remove(response.number()))
                    .ifPresent(request -> request.complete(response.result()));
        }
    }

    /**
     * Removes limits that have ended, and the state of upstreams whose limits another node owns now. To be called
     * periodically.
     */
    public void removeStale() {
        limits.removeStale(timers.nanoTime());
        slots.forgetIf(upstream -> !isNeeded(upstream) || !isOwner(upstream));
        deniedUntil.keySet().removeIf(upstream -> deniedNanos(upstream) == 0);
    }

    /**
     * Returns the number of permit requests without a response.
     *
     * @return the number since the start
     */
    public long unanswered() {
        return unanswered;
    }

    /** Grants a permit for an upstream whose limit this node owns. */
    private PermitResult grant(String upstream, long maxWaitNanos) {
        long now = timers.nanoTime();
        OptionalLong wait = slots.reserve(upstream, spacingNanos(upstream), maxWaitNanos, now);
        return wait.isPresent()
                ? new PermitResult.Granted(wait.getAsLong())
                : new PermitResult.Denied(slots.waitNanos(upstream, spacingNanos(upstream), now));
    }

    private boolean isOwner(String upstream) {
        return owners.owner(upstream).filter(link.self()::equals).isPresent();
    }

    private void onTimeout(long number, String owner) {
        PendingRequest request = pending.remove(number);
        if (request != null) {
            unanswered++;
            LOGGER.debug("event=permit-unanswered upstream={} keeper={}", request.upstream, owner);
            request.complete(new PermitResult.Denied(RETRY_NANOS));
        }
    }

    /** Sends messages to other nodes. */
    public interface Link {
        /**
         * Returns the name of this node.
         *
         * @return the name that {@link LimitOwnerSelector} returns
         */
        String self();

        /**
         * Sends a message.
         *
         * @param node    name of the receiving node
         * @param message the message
         * @return false if the node cannot be reached
         */
        boolean send(String node, WireMessage message);
    }

    /** A permit request that waits for its response. */
    private final class PendingRequest {
        private final String upstream;
        private final Consumer<PermitResult> callback;
        private TimerSubscription timeout = () -> {};

        private PendingRequest(String upstream, Consumer<PermitResult> callback) {
            this.upstream = upstream;
            this.callback = callback;
        }

        private void complete(PermitResult result) {
            timeout.cancel();
            if (result instanceof PermitResult.Denied denied) {
                deniedUntil.put(upstream, timers.nanoTime() + denied.retryAfterNanos());
            }
            callback.accept(result);
        }
    }
}
