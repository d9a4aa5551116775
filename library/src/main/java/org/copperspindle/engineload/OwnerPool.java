package org.copperspindle.engineload;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.measure.LogRateLimiter;

/**
 * The table of one pool at its load owner: decides what other nodes are sent, and logs when engines become slow.
 */
final class OwnerPool {

    private static final Logger LOGGER = LogManager.getLogger(OwnerPool.class);

    /** Queues up to this length at every engine do not need to be known to all nodes. */
    private static final double SHORT_QUEUE_MILLIS = 100;

    /** Tables go on for this long after the last reason for them, so that pauses between requests leave no gap. */
    private static final long LINGER_NANOS = Duration.ofSeconds(3).toNanos();

    /** Confirms a table that has not changed often enough for nodes not to drop it. */
    private static final long CONFIRM_NANOS = OwnerModel.MAX_AGE_NANOS / 3;

    /** Changes that are sent between two regular tables; more would exceed the traffic that a node may cause. */
    private static final int MAX_EARLY_CHANGES = 16;

    /**
     * Time between whole tables for each engine, so that they cause the same traffic in pools of any size. A node that
     * has dropped its table gets only changes otherwise, and takes engines that are not among them for fast ones.
     */
    private static final long WHOLE_TABLE_NANOS_PER_ENGINE =
            Duration.ofMillis(25).toNanos();

    private static final long MIN_WHOLE_TABLE_NANOS = Duration.ofSeconds(1).toNanos();

    private static final double MILLIS_PER_SECOND = 1000;

    private final String name;
    private final OwnerModel model = new OwnerModel();
    private final Map<String, EngineLoad> sent = new HashMap<>();
    private final Set<String> newNodes = new HashSet<>();
    private final Set<String> slow = new HashSet<>();
    private Map<String, EngineLoad> loads = Map.of();
    private boolean needed;
    private long neededAt;
    private long sentAt;
    private long wholeAt;

    OwnerPool(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    OwnerModel model() {
        return model;
    }

    void nodeUp(String node) {
        newNodes.add(node);
    }

    void forgetNode(String node) {
        newNodes.remove(node);
        model.forgetNode(node);
    }

    void forgetEngine(String id) {
        model.forgetEngine(id);
        sent.remove(id);
        slow.remove(id);
    }

    /** Brings the loads up to date. */
    void update(LogRateLimiter log, long now) {
        loads = model.loads(now);
        sent.keySet().retainAll(loads.keySet());
        slow.retainAll(loads.keySet());
        loads.forEach((id, load) -> logPace(id, load, log, now));
        if (isNeeded()) {
            needed = true;
            neededAt = now;
        } else if (now - neededAt > LINGER_NANOS) {
            needed = false;
        }
    }

    /** Returns the nodes that must be sent everything, once. */
    Set<String> takeNewNodes() {
        if (!needed) {
            return Set.of();
        }
        Set<String> taken = Set.copyOf(newNodes);
        newNodes.clear();
        return taken;
    }

    EngineLoadsMessage whole(long now) {
        return message(loads, now);
    }

    /**
     * Returns the changes for all nodes; empty if there are none and the last table still holds, and between two
     * regular tables also if there are many.
     */
    Optional<EngineLoadsMessage> takeChanges(boolean regular, long now) {
        if (!needed) {
            return Optional.empty();
        }
        boolean whole = regular && isWholeDue(now);
        Map<String, EngineLoad> changed = new LinkedHashMap<>();
        loads.forEach((id, load) -> {
            EngineLoad known = sent.get(id);
            if (known == null || (regular ? load.differsFrom(known) : load.isUrgentAfter(known))) {
                changed.put(id, load);
            } else if (whole) {
                // What the other nodes have already, so that a repeated entry changes no choice.
                changed.put(id, known);
            }
        });
        boolean due = !changed.isEmpty() || now - sentAt >= CONFIRM_NANOS;
        if (!due || !regular && changed.size() > MAX_EARLY_CHANGES) {
            return Optional.empty();
        }
        sent.putAll(changed);
        sentAt = now;
        wholeAt = whole ? now : wholeAt;
        return Optional.of(message(changed, now));
    }

    private boolean isWholeDue(long now) {
        return now - wholeAt >= Math.max(MIN_WHOLE_TABLE_NANOS, loads.size() * WHOLE_TABLE_NANOS_PER_ENGINE);
    }

    private EngineLoadsMessage message(Map<String, EngineLoad> entries, long now) {
        long perSecond = Math.round(model.speed() * MILLIS_PER_SECOND);
        return EngineLoadsMessage.of(
                name,
                entries,
                Math.min(ValueBounds.MAX_TOKENS, perSecond),
                Math.round(model.baseMillis()),
                model.sentPerSecond(now),
                model.slowestPace(now));
    }

    /** Returns whether other nodes could choose better if they knew the loads. */
    private boolean isNeeded() {
        double shortQueue = SHORT_QUEUE_MILLIS * model.speed();
        return loads.values().stream()
                .anyMatch(load -> load.pace() < PaceRule.EVEN_PACE || load.waitingTokens() > shortQueue);
    }

    private void logPace(String id, EngineLoad load, LogRateLimiter log, long now) {
        boolean isSlow = load.pace() < PaceRule.SLOW_PACE;
        boolean crossed = isSlow ? slow.add(id) : slow.remove(id);
        if (crossed && log.allowsFailed(now)) {
            LOGGER.info(
                    "event=engine-pace pool={} upstream={} slow={} pace={} waiting_tokens={} streams={}"
                            + " longest_pause_ms={} tokens_per_second={} base_ms={}",
                    name,
                    id,
                    isSlow,
                    load.pace(),
                    load.waitingTokens(),
                    load.streams(),
                    load.longestPauseMillis(),
                    Math.round(model.speed() * MILLIS_PER_SECOND),
                    Math.round(model.baseMillis()));
        }
    }
}
