package org.copperspindle.time;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Timer service in real time on a Netty event loop. Due tasks run on the network thread itself, for state that this
 * thread owns, so that a timer needs no switch between threads.
 */
public final class EventLoopTimerService implements TimerService {

    private final EventLoop loop;

    /**
     * Creates the service.
     *
     * @param loop event loop whose thread owns the subscribers' state
     */
    public EventLoopTimerService(EventLoop loop) {
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
