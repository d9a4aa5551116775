package org.copperspindle.wire;

import java.util.concurrent.atomic.LongAdder;

/**
 * Traffic counters of the protocol between the system's own processes; read by the metrics and by the capacity
 * measurements.
 */
public final class WireCounters {

    private static final int LENGTH_PREFIX_BYTES = 4;

    private final LongAdder messagesSent = new LongAdder();
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder messagesReceived = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();
    private final LongAdder malformedFrames = new LongAdder();
    private final LongAdder oversizedFrames = new LongAdder();
    private final LongAdder closedConnections = new LongAdder();
    private final LongAdder silentPeers = new LongAdder();
    private final LongAdder messagesRefused = new LongAdder();
    private final LongAdder pauses = new LongAdder();

    void recordSent(int payloadLength) {
        messagesSent.increment();
        bytesSent.add(payloadLength + LENGTH_PREFIX_BYTES);
    }

    void recordReceived(int payloadLength) {
        messagesReceived.increment();
        bytesReceived.add(payloadLength + LENGTH_PREFIX_BYTES);
    }

    void recordMalformed() {
        malformedFrames.increment();
    }

    void recordOversized() {
        oversizedFrames.increment();
    }

    void recordClosed() {
        closedConnections.increment();
    }

    void recordSilentPeer() {
        silentPeers.increment();
    }

    void recordRefused() {
        messagesRefused.increment();
    }

    void recordPause() {
        pauses.increment();
    }

    /**
     * Returns the number of messages sent.
     *
     * @return a count
     */
    public long messagesSent() {
        return messagesSent.sum();
    }

    /**
     * Returns the number of bytes sent, with length prefixes but without TCP and IP headers.
     *
     * @return bytes
     */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /**
     * Returns the number of messages received.
     *
     * @return a count
     */
    public long messagesReceived() {
        return messagesReceived.sum();
    }

    /**
     * Returns the number of bytes received, with length prefixes.
     *
     * @return bytes
     */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /**
     * Returns the number of frames that could not be decoded; each closed its connection.
     *
     * @return a count
     */
    public long malformedFrames() {
        return malformedFrames.sum();
    }

    /**
     * Returns the number of frames over the size limit; each closed its connection.
     *
     * @return a count
     */
    public long oversizedFrames() {
        return oversizedFrames.sum();
    }

    /**
     * Returns the number of connections that this side closed because of a fault of the peer, whatever the reason.
     *
     * @return a count
     */
    public long closedConnections() {
        return closedConnections.sum();
    }

    /**
     * Returns the number of connections closed because the peer sent nothing, not even heartbeats.
     *
     * @return a count
     */
    public long silentPeers() {
        return silentPeers.sum();
    }

    /**
     * Returns the number of messages not sent because they were too large or the peer did not read.
     *
     * @return a count
     */
    public long messagesRefused() {
        return messagesRefused.sum();
    }

    /**
     * Returns how often reading from a connection was paused because the decision ring was full.
     *
     * @return a count
     */
    public long pauses() {
        return pauses.sum();
    }
}
