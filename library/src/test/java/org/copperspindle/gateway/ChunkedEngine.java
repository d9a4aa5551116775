package org.copperspindle.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.copperspindle.engineload.EnginePrompt;
import org.copperspindle.time.VirtualTimerService;

/**
 * An engine that reads prompts in chunks between the steps of its running streams. A step makes one token of each
 * stream, and an event has several tokens, so an event waits for as many chunks as it has tokens.
 */
final class ChunkedEngine {

    private static final int CHUNK_TOKENS = 2048;
    private static final int EVENT_TOKENS = 8;
    private static final double STEP_MILLIS = 3.5;
    private static final double STREAM_STEP_MILLIS = 0.12;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ReplayedEngine engine;
    private final VirtualTimerService time;
    private final Deque<Stream> reading = new ArrayDeque<>();
    private final List<Stream> running = new ArrayList<>();
    private boolean busy;

    ChunkedEngine(ReplayedEngine engine, VirtualTimerService time) {
        this.engine = engine;
        this.time = time;
    }

    // Starts an attempt; returns the tokens that it reads.
    long start(EnginePrompt prompt, int events, Listener listener) {
        long unread = engine.unreadTokens(prompt);
        reading.add(new Stream(unread, events * EVENT_TOKENS, listener));
        if (!busy) {
            step();
        }
        return unread;
    }

    private void step() {
        busy = !reading.isEmpty() || !running.isEmpty();
        if (!busy) {
            return;
        }
        long chunk = reading.isEmpty() ? 0 : Math.min(CHUNK_TOKENS, reading.peek().unread);
        double work = chunk / engine.tokensPerMilli();
        if (!running.isEmpty()) {
            work += STEP_MILLIS + STREAM_STEP_MILLIS * running.size();
        }
        double now = time.nanoTime() / NANOS_PER_MILLI;
        double took = engine.finish(now, work) - now;
        time.schedule((long) (took * NANOS_PER_MILLI), () -> stepDone(chunk));
    }

    private void stepDone(long chunk) {
        List<Stream> stepped = List.copyOf(running);
        if (!reading.isEmpty()) {
            Stream first = reading.peek();
            first.unread -= chunk;
            if (first.unread <= 0) {
                running.add(reading.poll());
            }
        }
        stepped.forEach(this::addToken);
        step();
    }

    private void addToken(Stream stream) {
        stream.made++;
        if (stream.made % EVENT_TOKENS == 0) {
            boolean last = stream.made == stream.tokens;
            if (last) {
                running.remove(stream);
            }
            stream.listener.onEvent(last);
        }
    }

    interface Listener {
        // Called with each event.
        void onEvent(boolean last);
    }

    private static final class Stream {
        private long unread;
        private final int tokens;
        private final Listener listener;
        private int made;

        private Stream(long unread, int tokens, Listener listener) {
            this.unread = unread;
            this.tokens = tokens;
            this.listener = listener;
        }
    }
}
