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
 * The decision loop of a daemon: a Disruptor ring buffer whose single consumer thread owns all decision state, so
 * that decisions need no locks. Network threads never block: they use {@link #offer}, which returns false if the
 * ring is full, or {@link #offerWithRetry} for tasks that must not be lost. Timer and disk threads use
 * {@link #execute}, which may block.
 */
public final class DecisionRing implements DecisionQueue, Executor, AutoCloseable {

    /**
     * Default number of slots; tasks beyond it are refused, which causes backpressure instead of unbounded queueing.
     */
    public static final int DEFAULT_SLOTS = 8192;

    private static final long RETRY_DELAY_MILLIS = 1;

    private static final Logger LOGGER = LogManager.getLogger(DecisionRing.class);

    private final Disruptor<Slot> disruptor;
    private final RingBuffer<Slot> ring;
    private final LongAdder failures = new LongAdder();
    private volatile Thread consumerThread;

    /**
     * Starts the consumer thread.
     *
     * @param name  name of the consumer thread
     * @param slots ring size, a power of two
     */
    public DecisionRing(String name, int slots) {
        // Blocking wait strategy: a spinning consumer would use a whole core on a VM that is granted 3.5% of one.
        disruptor = new Disruptor<>(
                Slot::new,
                slots,
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    consumerThread = thread;
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
     * Queues a task from a network thread without blocking it: while the ring is full, the task is offered again
     * from the thread's own scheduler. Tasks queued this way may be reordered; a sender that needs order must queue
     * later tasks behind the refused one itself.
     *
     * @param task      task to run on the decision thread
     * @param scheduler the network thread's event loop, or the group of them
     */
    public void offerWithRetry(Runnable task, ScheduledExecutorService scheduler) {
        if (offer(task) || scheduler.isShutdown()) {
            return;
        }
        scheduler.schedule(() -> offerWithRetry(task, scheduler), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Queues a task, blocking until a slot is free. Must not be called on network threads. On the decision thread
     * itself the task runs immediately, because waiting for a slot there would deadlock.
     */
    @Override
    public void execute(Runnable task) {
        if (Thread.currentThread() == consumerThread) {
            task.run();
            return;
        }
        ring.publishEvent((slot, sequence) -> slot.task = task);
    }

    /**
     * Returns the number of tasks in the ring.
     *
     * @return slots in use
     */
    public long depth() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    /**
     * Returns the number of decisions that failed unexpectedly.
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

    /** Counts and logs failures, so that one failed decision doesn't stop the ring. */
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
