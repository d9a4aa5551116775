package org.copperspindle.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;

import org.copperspindle.direct.UpstreamPort.CallHandle;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Slows the stream of one upstream to the speed of the caller: reading pauses while the caller's connection can't take
 * more. Used on the network thread only.
 */
final class UpstreamReading {

    /** Time after which an upstream is assumed to cut off a response that stays unread. */
    private static final Duration ASSUMED_UPSTREAM_LIMIT = Duration.ofSeconds(2);

    /**
     * Longest pause. The rest of the upstream's limit is for a busy network thread on either side; a longer pause would
     * turn a slow caller into a broken response.
     */
    static final long MAX_PAUSE_NANOS =
            ASSUMED_UPSTREAM_LIMIT.multipliedBy(3).dividedBy(4).toNanos();

    private final TimerService timers;
    private final BooleanSupplier writable;
    private final PausedUpstreams paused;
    private CallHandle handle = reason -> {};
    private TimerSubscription pauseEnd = () -> {};
    private State state = State.ENDED;
    private boolean pausedSinceTaken;
    private long readingSince;

    /**
     * Creates the control of a call that has not started.
     *
     * @param timers   timers on the network thread
     * @param writable whether the caller's connection takes more data
     * @param paused   counts pauses
     */
    UpstreamReading(TimerService timers, BooleanSupplier writable, PausedUpstreams paused) {
        this.timers = timers;
        this.writable = writable;
        this.paused = paused;
    }

    /** Begins to control a call whose stream has started. */
    void begin(CallHandle call) {
        handle = call;
        state = State.READING;
        readingSince = timers.nanoTime();
        adjust();
    }

    /** Pauses or resumes as the caller's connection requires. */
    void adjust() {
        if (state == State.ENDED) {
            return;
        }
        if (writable.getAsBoolean()) {
            resume(State.READING);
        } else if (state == State.READING) {
            state = State.PAUSED;
            pausedSinceTaken = true;
            paused.increment();
            handle.setReading(false);
            pauseEnd = timers.schedule(MAX_PAUSE_NANOS, () -> resume(State.OVERDUE));
        }
    }

    /** Returns whether reading has paused since this was last asked. */
    boolean takePause() {
        boolean wasPaused = pausedSinceTaken;
        pausedSinceTaken = state == State.PAUSED;
        return wasPaused;
    }

    /** Returns whether the upstream is not read now. */
    boolean isPaused() {
        return state == State.PAUSED;
    }

    /** Returns when reading last began or ended a pause, monotonic time in nanoseconds; 0 before it began. */
    long readingSince() {
        return readingSince;
    }

    /** Stops to control the call, which has ended or is being aborted. */
    void end() {
        resume(State.ENDED);
    }

    private void resume(State next) {
        boolean wasPaused = state == State.PAUSED;
        state = next;
        if (wasPaused) {
            readingSince = timers.nanoTime();
            pauseEnd.cancel();
            paused.decrement();
            handle.setReading(true);
        }
    }

    /** Whether the call is read. */
    private enum State {
        /** The caller's connection takes data. */
        READING,
        /** It doesn't, and the upstream isn't read. */
        PAUSED,
        /** It doesn't, but the upstream would not wait any longer: its data is held within the memory budget. */
        OVERDUE,
        /** The call is not controlled. */
        ENDED
    }
}
