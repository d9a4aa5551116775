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
import org.copperspindle.wire.WireMessage;

/**
 * Permits to send to upstreams that have named a limit. For each such upstream one node keeps the limit for all and gives out one
 * permit for each request, so that the sum over all nodes is bounded however many there are, and any of them may use what is
 * there. A node that gets no answer goes without. Network thread only.
 */
public final class SendPermits {

    private static final Logger LOGGER = LogManager.getLogger(SendPermits.class);

    /** A keeper that has not answered by then stands still or is cut off; an answer takes a few milliseconds. */
    private static final long ANSWER_NANOS = Duration.ofMillis(60).toNanos();

    /** After that, and while it is not known who keeps the upstream, it is asked for again. */
    private static final long ASK_AGAIN_NANOS = Duration.ofMillis(250).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final UpstreamLimits limits;
    private final LimitOwnerSelector keepers;
    private final Link link;
    private final TimerService timers;
    private final SendSlots slots = new SendSlots();
    private final Map<String, Long> deniedUntil = new HashMap<>();
    private final Map<Long, Question> open = new HashMap<>();
    private long lastNumber;
    private long unanswered;

    /**
     * Creates it.
     *
     * @param limits  the limits
     * @param keepers who keeps them
     * @param link    reaches other nodes
     * @param timers  time on the network thread
     */
    public SendPermits(UpstreamLimits limits, LimitOwnerSelector keepers, Link link, TimerService timers) {
        this.limits = limits;
        this.keepers = keepers;
        this.link = link;
        this.timers = timers;
    }

    /**
     * Says whether requests to an upstream need a permit.
     *
     * @param upstream its id
     * @return false if it takes whatever comes
     */
    public boolean isNeeded(String upstream) {
        return limits.find(upstream).isPresent();
    }

    /**
     * Returns how far apart the requests of all nodes to an upstream are.
     *
     * @param upstream its id
     * @return nanoseconds; 0 if it takes whatever comes, also if its limit has ended meanwhile
     */
    public long spacingNanos(String upstream) {
        OptionalDouble perSecond = limits.find(upstream);
        return perSecond.isPresent() ? SendSlots.spacingNanos(perSecond.getAsDouble()) : 0;
    }

    /**
     * Says whether any upstream needs permits.
     *
     * @return false while none has a limit
     */
    public boolean isAnyNeeded() {
        return limits.isAnyKnown();
    }

    /**
     * Returns how long it makes no sense to ask for a permit.
     *
     * @param upstream id of the upstream
     * @return nanoseconds; 0 if a permit may be had, or is not needed
     */
    public long deniedNanos(String upstream) {
        Long until = deniedUntil.get(upstream);
        return until == null || !isNeeded(upstream) ? 0 : Math.max(0, until - timers.nanoTime());
    }

    /**
     * Asks for a permit. The answer may come before this returns.
     *
     * @param upstream    id of the upstream
     * @param longestWait nanoseconds after which the permit must be valid
     * @param callback    told once
     */
    public void requestPermit(String upstream, long longestWait, Consumer<PermitResult> callback) {
        Question question = new Question(upstream, callback);
        Optional<String> keeper = keepers.owner(upstream);
        if (keeper.filter(link.self()::equals).isPresent()) {
            question.end(give(upstream, longestWait));
            return;
        }
        long number = ++lastNumber;
        PermitRequestMessage message = new PermitRequestMessage(number, upstream, longestWait / NANOS_PER_MILLI);
        if (keeper.isEmpty() || !link.send(keeper.get(), message)) {
            question.end(new PermitResult.Denied(ASK_AGAIN_NANOS));
            return;
        }
        open.put(number, question);
        question.timeout = timers.schedule(ANSWER_NANOS, () -> missed(number, keeper.get()));
    }

    /**
     * Says whether this node keeps an upstream itself and may send to it now.
     *
     * @param upstream its id
     * @return true also if no permit is needed
     */
    public boolean mayTake(String upstream) {
        return !isNeeded(upstream)
                || keeps(upstream) && slots.waitNanos(upstream, spacingNanos(upstream), timers.nanoTime()) == 0;
    }

    /**
     * Takes a permit that {@link #mayTake} says can be had.
     *
     * @param upstream id of the upstream
     */
    public void take(String upstream) {
        if (isNeeded(upstream)) {
            give(upstream, 0);
        }
    }

    /**
     * Takes a message of another node.
     *
     * @param node    its name
     * @param message the message; others than questions and answers for permits are left alone
     */
    public void onMessage(String node, WireMessage message) {
        if (message instanceof PermitRequestMessage ask) {
            // A node that sees other nodes asks the wrong one for a moment: two keepers would give out twice what there
            // is.
            PermitResult result = keeps(ask.upstream())
                    ? give(ask.upstream(), ask.longestWait() * NANOS_PER_MILLI)
                    : new PermitResult.Denied(ASK_AGAIN_NANOS);
            link.send(node, PermitResponseMessage.of(ask.number(), result));
        } else if (message instanceof PermitResponseMessage answer) {
            Optional.ofNullable(open.remove(answer.number())).ifPresent(question -> question.end(answer.result()));
        }
    }

    /** Forgets limits that are over, and what this node gave out for upstreams that another one keeps now; to be called often. */
    public void removeStale() {
        limits.removeStale(timers.nanoTime());
        slots.forgetIf(upstream -> !isNeeded(upstream) || !keeps(upstream));
        deniedUntil.keySet().removeIf(upstream -> deniedNanos(upstream) == 0);
    }

    /**
     * Returns how many questions got no answer.
     *
     * @return a count since the start
     */
    public long unanswered() {
        return unanswered;
    }

    /** Gives a permit for an upstream that this node keeps. */
    private PermitResult give(String upstream, long longestWait) {
        long now = timers.nanoTime();
        OptionalLong wait = slots.reserve(upstream, spacingNanos(upstream), longestWait, now);
        return wait.isPresent()
                ? new PermitResult.Granted(wait.getAsLong())
                : new PermitResult.Denied(slots.waitNanos(upstream, spacingNanos(upstream), now));
    }

    private boolean keeps(String upstream) {
        return keepers.owner(upstream).filter(link.self()::equals).isPresent();
    }

    private void missed(long number, String keeper) {
        Question question = open.remove(number);
        if (question != null) {
            unanswered++;
            LOGGER.debug("event=permit-unanswered upstream={} keeper={}", question.upstream, keeper);
            question.end(new PermitResult.Denied(ASK_AGAIN_NANOS));
        }
    }

    /** Reaches other nodes. */
    public interface Link {
        /**
         * Returns the name of this node.
         *
         * @return as {@link LimitOwnerSelector} gives it
         */
        String self();

        /**
         * Sends a message.
         *
         * @param node    name of the node that it is for
         * @param message the message
         * @return false if there is no way
         */
        boolean send(String node, WireMessage message);
    }

    /** A question that waits for its answer. */
    private final class Question {
        private final String upstream;
        private final Consumer<PermitResult> callback;
        private TimerSubscription timeout = () -> {};

        private Question(String upstream, Consumer<PermitResult> callback) {
            this.upstream = upstream;
            this.callback = callback;
        }

        private void end(PermitResult result) {
            timeout.cancel();
            if (result instanceof PermitResult.Denied denied) {
                deniedUntil.put(upstream, timers.nanoTime() + denied.freeNanos());
            }
            callback.accept(result);
        }
    }
}
