package org.copperspindle.gateway;

import java.util.Map;
import java.util.TreeMap;

import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;

/**
 * Counts the bytes of messages by the second in which they are sent.
 */
final class TrafficMeter {

    private static final MessageRegistry REGISTRY = GatewayMessages.registry();
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Map<Long, Long> bytes = new TreeMap<>();

    void add(WireMessage message, long now) {
        bytes.merge(now / SECOND_NANOS, (long) REGISTRY.encode(message).length, Long::sum);
    }

    // Forgets the messages until now.
    void clear() {
        bytes.clear();
    }

    // Returns the bytes of the second with most of them.
    long peak() {
        return bytes.values().stream().mapToLong(n -> n).max().orElse(0);
    }

    // Returns all bytes.
    long total() {
        return bytes.values().stream().mapToLong(n -> n).sum();
    }
}
