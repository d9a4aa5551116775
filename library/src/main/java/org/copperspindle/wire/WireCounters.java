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
     * Returns frames that closed their connection.
     *
     * @return a count
     */
    public long malformedFrames() {
        return malformedFrames.sum();
    }
}
