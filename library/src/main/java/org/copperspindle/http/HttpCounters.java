package org.copperspindle.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what happens at one listener; read by metrics.
 */
public final class HttpCounters {

    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger inProgress = new AtomicInteger();
    private final LongAdder requests = new LongAdder();
    private final LongAdder refusedConnections = new LongAdder();
    private final LongAdder refusedRequests = new LongAdder();
    private final LongAdder slowSenders = new LongAdder();
    private final LongAdder slowReaders = new LongAdder();
    private final LongAdder lateAnswers = new LongAdder();
    private final LongAdder handlerFailures = new LongAdder();

    int connected() {
        return connections.incrementAndGet();
    }

    void disconnected() {
        connections.decrementAndGet();
    }

    void requestBegun() {
        requests.increment();
        inProgress.incrementAndGet();
    }

    void requestEnded() {
        inProgress.decrementAndGet();
    }

    void refusedConnection() {
        refusedConnections.increment();
    }

    void refusedRequest() {
        refusedRequests.increment();
    }

    void slowSender() {
        slowSenders.increment();
    }

    void slowReader() {
        slowReaders.increment();
    }

    void lateAnswer() {
        lateAnswers.increment();
    }

    void handlerFailure() {
        handlerFailures.increment();
    }

    /**
     * Returns the connections that are open.
     *
     * @return a count
     */
    public int connections() {
        return connections.get();
    }

    /**
     * Returns requests handed on whose answer has not been written out.
     *
     * @return a count
     */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Returns requests handed on.
     *
     * @return a count
     */
    public long requests() {
        return requests.sum();
    }

    /**
     * Returns connections refused because too many were open.
     *
     * @return a count
     */
    public long refusedConnections() {
        return refusedConnections.sum();
    }

    /**
     * Returns requests refused because of their form: malformed, ambiguous, too large or too slow.
     *
     * @return a count
     */
    public long refusedRequests() {
        return refusedRequests.sum();
    }

    /**
     * Returns requests that did not arrive in time; part of {@link #refusedRequests()}.
     *
     * @return a count
     */
    public long slowSenders() {
        return slowSenders.sum();
    }

    /**
     * Returns connections closed because the caller did not read its answer.
     *
     * @return a count
     */
    public long slowReaders() {
        return slowReaders.sum();
    }

    /**
     * Returns answers, or pieces of them, that came after the connection or the answer had ended; they were dropped.
     *
     * @return a count
     */
    public long lateAnswers() {
        return lateAnswers.sum();
    }

    /**
     * Returns unexpected failures while a request was handled.
     *
     * @return a count
     */
    public long handlerFailures() {
        return handlerFailures.sum();
    }
}
