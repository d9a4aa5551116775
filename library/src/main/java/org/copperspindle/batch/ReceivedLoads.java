package org.copperspindle.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.measure.LogRateLimiter;

/**
 * The loads of pools that their dispatchers have sent to this node.
 */
final class ReceivedLoads {

    private static final Logger LOGGER = LogManager.getLogger(ReceivedLoads.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LogRateLimiter log;
    private final Map<String, Load> loads = new HashMap<>();

    ReceivedLoads(LogRateLimiter log) {
        this.log = log;
    }

    /** Takes a load; drops one with impossible values. */
    void put(String node, PoolLoadMessage message, long now) {
        if (!message.isValid()) {
            if (log.allowsFailed(now)) {
                LOGGER.warn("event=pool-load-dropped node={} pool={}", node, message.pool());
            }
            return;
        }
        PoolLoad load =
                new PoolLoad(message.waitMillis() * NANOS_PER_MILLI, message.perSecond(), message.expectedPieces());
        loads.put(message.pool(), new Load(load, now));
    }

    /** Returns the last load of a pool unless it is too old. */
    Optional<PoolLoad> find(String pool, long now) {
        return Optional.ofNullable(loads.get(pool))
                .filter(load -> now - load.receivedAt() < PoolLoadMessage.MAX_AGE_NANOS)
                .map(Load::load);
    }

    private record Load(PoolLoad load, long receivedAt) {}
}
