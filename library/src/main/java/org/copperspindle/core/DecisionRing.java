package org.copperspindle.core;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The decision loop of a daemon: a Disruptor ring whose single consumer owns all decision state, so that no decision
 * takes a lock. Network threads use {@link #offer}, which refuses when the ring is full, or {@link #offerUntilTaken} for
 * what must not be lost; they never block. Timer and disk threads use {@link #execute}, which may wait.
 */
public final class DecisionRing implements DecisionQueue, Executor, AutoCloseable {

    /** Default number of slots; a burst beyond it is refused with back-pressure rather than queued. */
    public static final int DEFAULT_SLOTS = 8192;

    private static final long OFFER_AGAIN_MILLIS = 1;

    private static final Logger LOGGER = LogManager.getLogger(DecisionRing.class);

    private final Disruptor<Slot> disruptor;
    private final RingBuffer<Slot> ring;
    private final LongAdder failures = new LongAdder();
    private volatile Thread owner;

    /**
     * Starts the consumer thread.
     *
     * @param name  name of the consumer thread
     * @param slots ring size, a power of two
     */
    public DecisionRing(String name, int slots) {
        // Blocking wait: a spinning consumer would use a whole core of a VM that grants 3.5% of one.
        disruptor = new Disruptor<>(
                Slot::new,
                slots,
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    owner = thread;
                    return thread;
                },
                ProducerType.MULTI,
                new BlockingWaitStrategy());
        disruptor.handleEventsWith((slot, sequence, endOfBatch) -> slot.run());
        disruptor.setDefaultExceptionHandler(new CountingExceptionHandler());
        ring = disruptor.start();
    }

    @Override
    public boolean offer(Runnable task) {
        return ring.tryPublishEvent((slot, sequence) -> slot.task = task);
    }

    /**
     * Hands over a task from a network thread without blocking it: while the ring is full, the task is offered again
     * from the thread's own scheduler. Two tasks handed over this way may change places; what must keep its order is
     * queued by its sender behind the refused one.
     *
     * @param task      what to run on the decision thread
     * @param scheduler the network thread's event loop, or the group of them
     */
    public void offerUntilTaken(Runnable task, ScheduledExecutorService scheduler) {
        if (offer(task) || scheduler.isShutdown()) {
            return;
        }
        scheduler.schedule(() -> offerUntilTaken(task, scheduler), OFFER_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Hands over a task, waiting for a free slot. Not for network threads. A task from the decision thread itself runs
     * in place: waiting for a slot there would be a deadlock.
     */
    @Override
    public void execute(Runnable task) {
        if (Thread.currentThread() == owner) {
            task.run();
            return;
        }
        ring.publishEvent((slot, sequence) -> slot.task = task);
    }

    /**
     * Returns how full the ring is.
     *
     * @return slots in use
     */
    public long depth() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    /**
     * Returns how many decisions failed unexpectedly.
     *
     * @return a count
     */
    public long failures() {
        return failures.sum();
    }

    @Override
    public void close() {
        disruptor.halt();
    }

    /** A preallocated ring slot. */
    private static final class Slot {
        private Runnable task;

        private void run() {
            Runnable current = task;
            task = null;
            current.run();
        }
    }

    /** Keeps the ring alive: one failed decision must not stop all others. */
    private final class CountingExceptionHandler implements ExceptionHandler<Slot> {
        @Override
        public void handleEventException(Throwable failure, long sequence, Slot slot) {
            failures.increment();
            LOGGER.error("event=decision-failed sequence={}", sequence, failure);
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            LOGGER.error("event=ring-start-failed", failure);
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            LOGGER.error("event=ring-stop-failed", failure);
        }
    }
}
