package org.copperspindle.version;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Waits for responses to lease requests that are sent after a given moment. All that wait at the same time share requests.
 * Must be used on the network thread.
 */
final class LeaseConfirmations {

    /** How long a response is awaited: several round trips on a link with packet loss, little of a caller's time. */
    private static final long TIMEOUT_NANOS = Duration.ofMillis(250).toNanos();

    /** Shortest time between two requests, which limits those that are under way. */
    private static final long REQUEST_SPACING_NANOS = Duration.ofMillis(50).toNanos();

    private final TimerService timers;
    private final LongSupplier lastRequest;
    private final Runnable requester;
    private final List<Waiting> waiting = new ArrayList<>();
    private long requestedAt;
    private boolean requestScheduled;

    /**
     * Creates an object that waits for nothing.
     *
     * @param timers      timers of the network thread
     * @param lastRequest supplies the sequence number of the last request
     * @param requester   sends a request
     */
    LeaseConfirmations(TimerService timers, LongSupplier lastRequest, Runnable requester) {
        this.timers = timers;
        this.lastRequest = lastRequest;
        this.requester = requester;
        this.requestedAt = timers.nanoTime() - REQUEST_SPACING_NANOS;
    }

    /** Waits for the response to a later request; the listener receives whether one was taken in time. */
    void await(Consumer<Boolean> listener) {
        Waiting added = new Waiting(lastRequest.getAsLong(), listener);
        waiting.add(added);
        added.timeout = timers.schedule(TIMEOUT_NANOS, () -> end(added, false));
        if (!requestScheduled) {
            requestScheduled = true;
            timers.schedule(requestedAt + REQUEST_SPACING_NANOS - timers.nanoTime(), this::request);
        }
    }

    /** Processes a response after which this node holds the state that the response named. */
    void onTaken(long request) {
        List<Waiting> confirmed =
                waiting.stream().filter(each -> each.after < request).toList();
        confirmed.forEach(each -> end(each, true));
    }

    private void request() {
        requestScheduled = false;
        requestedAt = timers.nanoTime();
        requester.run();
    }

    private void end(Waiting ended, boolean taken) {
        if (waiting.remove(ended)) {
            ended.timeout.cancel();
            ended.listener.accept(taken);
        }
    }

    /** One that waits for the response to a request after a given one. */
    private static final class Waiting {
        private final long after;
        private final Consumer<Boolean> listener;
        private TimerSubscription timeout = () -> {};

        private Waiting(long after, Consumer<Boolean> listener) {
            this.after = after;
            this.listener = listener;
        }
    }
}
