package org.copperspindle.wire;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what a process sends and receives on its own protocol; read by metrics and by the capacity measurements.
 */
public final class WireCounters {

    private static final int LENGTH_BYTES = 4;

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

    void sent(int payload) {
        messagesSent.increment();
        bytesSent.add(payload + LENGTH_BYTES);
    }

    void received(int payload) {
        messagesReceived.increment();
        bytesReceived.add(payload + LENGTH_BYTES);
    }

    void malformed() {
        malformedFrames.increment();
    }

    void oversized() {
        oversizedFrames.increment();
    }

    void closed() {
        closedConnections.increment();
    }

    void silentPeer() {
        silentPeers.increment();
    }

    void refusedToSend() {
        messagesRefused.increment();
    }

    void paused() {
        pauses.increment();
    }

    /**
     * Returns messages sent.
     *
     * @return a count
     */
    public long messagesSent() {
        return messagesSent.sum();
    }

    /**
     * Returns bytes sent, length prefixes included, TCP and IP headers not.
     *
     * @return bytes
     */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /**
     * Returns messages received.
     *
     * @return a count
     */
    public long messagesReceived() {
        return messagesReceived.sum();
    }

    /**
     * Returns bytes received, length prefixes included.
     *
     * @return bytes
     */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /**
     * Returns frames that were no message and closed their connection.
     *
     * @return a count
     */
    public long malformedFrames() {
        return malformedFrames.sum();
    }

    /**
     * Returns frames over the size limit, each of which closed its connection.
     *
     * @return a count
     */
    public long oversizedFrames() {
        return oversizedFrames.sum();
    }

    /**
     * Returns connections that this side closed over the peer's conduct, whatever the reason.
     *
     * @return a count
     */
    public long closedConnections() {
        return closedConnections.sum();
    }

    /**
     * Returns connections closed because the peer sent nothing, not even heartbeats.
     *
     * @return a count
     */
    public long silentPeers() {
        return silentPeers.sum();
    }

    /**
     * Returns messages not sent because they were too large or the peer did not read.
     *
     * @return a count
     */
    public long messagesRefused() {
        return messagesRefused.sum();
    }

    /**
     * Returns times that reading from a connection paused because the decision ring was full.
     *
     * @return a count
     */
    public long pauses() {
        return pauses.sum();
    }
}
