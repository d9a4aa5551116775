package org.copperspindle.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of one listener; read by the metrics.
 */
public final class HttpCounters {

    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger inProgress = new AtomicInteger();
    private final LongAdder requests = new LongAdder();
    private final LongAdder refusedConnections = new LongAdder();
    private final LongAdder shedConnections = new LongAdder();
    private final LongAdder replacedConnections = new LongAdder();
    private final LongAdder refusedRequests = new LongAdder();
    private final LongAdder slowSenders = new LongAdder();
    private final LongAdder slowReaders = new LongAdder();
    private final LongAdder lateResponses = new LongAdder();
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

    void shedConnection() {
        shedConnections.increment();
    }

    void replacedConnection() {
        replacedConnections.increment();
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

    void lateResponse() {
        lateResponses.increment();
    }

    void handlerFailure() {
        handlerFailures.increment();
    }

    /**
     * Returns the number of open connections.
     *
     * @return a count
     */
    public int connections() {
        return connections.get();
    }

    /**
     * Returns the number of requests begun whose response has not been written yet.
     *
     * @return a count
     */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Returns the number of requests begun, refused ones included.
     *
     * @return a count
     */
    public long requests() {
        return requests.sum();
    }

    /**
     * Returns the number of connections closed unread because this process could not serve them.
     *
     * @return a count
     */
    public long shedConnections() {
        return shedConnections.sum();
    }

    /**
     * Returns the number of connections without a whole request that were closed because there was no room for a new one.
     *
     * @return a count
     */
    public long replacedConnections() {
        return replacedConnections.sum();
    }

    /**
     * Returns the number of connections refused because too many were open.
     *
     * @return a count
     */
    public long refusedConnections() {
        return refusedConnections.sum();
    }

    /**
     * Returns the number of requests refused before handling: malformed, ambiguous, too large or too slow.
     *
     * @return a count
     */
    public long refusedRequests() {
        return refusedRequests.sum();
    }

    /**
     * Returns the number of requests that did not arrive in time; included in {@link #refusedRequests()}.
     *
     * @return a count
     */
    public long slowSenders() {
        return slowSenders.sum();
    }

    /**
     * Returns the number of connections closed because the caller did not read its response.
     *
     * @return a count
     */
    public long slowReaders() {
        return slowReaders.sum();
    }

    /**
     * Returns the number of responses, or parts of responses, dropped because the connection or the response had
     * ended already.
     *
     * @return a count
     */
    public long lateResponses() {
        return lateResponses.sum();
    }

    /**
     * Returns the number of unexpected failures while a request was handled.
     *
     * @return a count
     */
    public long handlerFailures() {
        return handlerFailures.sum();
    }
}
