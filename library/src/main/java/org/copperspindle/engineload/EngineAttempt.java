package org.copperspindle.engineload;

/**
 * Counts one attempt at an engine. It ends exactly once, however often {@link #ended} is called. Network thread only.
 */
public final class EngineAttempt {

    /** An attempt at an upstream that is not an engine; counts nothing. */
    public static final EngineAttempt NONE = new EngineAttempt(new OwnEngine(0), 0, 0, true, () -> {});

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final OwnEngine engine;
    private final long unreadTokens;
    private final long sentAt;
    private final Runnable onRead;
    private boolean reading = true;
    private boolean ended;
    private long lastEventAt;

    private EngineAttempt(OwnEngine engine, long unreadTokens, long sentAt, boolean ended, Runnable onRead) {
        this.engine = engine;
        this.unreadTokens = unreadTokens;
        this.sentAt = sentAt;
        this.ended = ended;
        this.onRead = onRead;
    }

    static EngineAttempt start(OwnEngine engine, long unreadTokens, long now, Runnable onRead) {
        engine.started(unreadTokens);
        return new EngineAttempt(engine, unreadTokens, now, false, onRead);
    }

    /**
     * Records an event of the response; the first one shows that the engine has read the prompt.
     *
     * @param now monotonic time in nanoseconds
     */
    public void event(long now) {
        if (ended) {
            return;
        }
        if (reading) {
            stopReading();
            engine.sampled(unreadTokens, sentAt, now);
            onRead.run();
        } else {
            engine.paused((now - lastEventAt) / NANOS_PER_MILLI);
        }
        lastEventAt = now;
    }

    /**
     * Leaves the time since the last event out of the pauses: the response was not read meanwhile.
     *
     * @param now monotonic time in nanoseconds
     */
    public void skipPause(long now) {
        lastEventAt = now;
    }

    /** Records that the attempt has ended, in whatever way. */
    public void ended() {
        if (ended) {
            return;
        }
        if (reading) {
            stopReading();
        }
        ended = true;
        engine.ended();
    }

    private void stopReading() {
        reading = false;
        engine.stopsWaiting(unreadTokens);
    }
}
