package org.copperspindle.time;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Real time on a network thread: due tasks run there, beside the events of its sockets. For state that the network
 * thread owns, so that a timer costs no hand-over between threads.
 */
public final class LoopTimerService implements TimerService {

    private final EventLoop loop;

    /**
     * Creates the service.
     *
     * @param loop thread that owns the subscribers' state
     */
    public LoopTimerService(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public TimerSubscription schedule(long delayNanos, Runnable task) {
        if (loop.isShuttingDown()) {
            return () -> {};
        }
        Future<?> future = loop.schedule(task, Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
