package org.copperspindle.engineload;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * All engines of one pool at its load owner: the counts of each node, and the measured paces.
 */
final class OwnerModel {

    /** Counts of a node that has been silent for longer do not count; nodes confirm theirs more often. */
    static final long MAX_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    private final Map<String, EngineModel> engines = new HashMap<>();
    private final Map<String, NodeCounts> nodes = new HashMap<>();
    private final BaseLatency base = new BaseLatency();
    private double speed;

    /** Takes what a node counted. */
    void merge(String node, EngineSamplesMessage message, long now) {
        NodeCounts counts = nodes.computeIfAbsent(node, n -> new NodeCounts());
        counts.heardAt = now;
        for (int i = 0; i < message.engines().size(); i++) {
            String id = message.engines().get(i);
            if (!engines.containsKey(id) && engines.size() >= ValueBounds.MAX_ENGINES) {
                continue;
            }
            EngineModel engine = engines.computeIfAbsent(id, e -> new EngineModel());
            counts.set(id, message.waitingTokens().get(i), message.streams().get(i));
            engine.addPause(message.longestPauses().get(i), now);
            long samples = message.samples().get(i);
            if (samples > 0) {
                double tokens = message.sampledTokens().get(i);
                double millis = message.sampledMillis().get(i);
                base.observe(tokens / samples, millis / samples, speed);
                engine.add(tokens, millis - samples * base.millis(), samples, speed, now);
            }
        }
    }

    void forgetNode(String node) {
        nodes.remove(node);
    }

    void forgetEngine(String id) {
        engines.remove(id);
        nodes.values().forEach(counts -> counts.engines.remove(id));
    }

    /** Updates the median speed of the pool and returns the loads of all its engines. */
    Map<String, EngineLoad> loads(long now) {
        measureSpeed(now);
        Map<String, EngineLoad> loads = new LinkedHashMap<>();
        engines.forEach((id, engine) -> {
            long pace = Math.round(engine.pace(speed, now) * EngineLoad.MEDIAN_PACE);
            long bounded = Math.max(1, Math.min(ValueBounds.MAX_PACE, pace));
            loads.put(id, new EngineLoad(0, 0, bounded, engine.longestPauseMillis(now)));
        });
        for (NodeCounts counts : nodes.values()) {
            if (now - counts.heardAt <= MAX_AGE_NANOS) {
                counts.engines.forEach((id, own) -> loads.computeIfPresent(id, (i, load) -> sum(load, own)));
            }
        }
        return loads;
    }

    /** Returns the median speed in tokens per millisecond, 0 while it is not known. */
    double speed() {
        return speed;
    }

    double baseMillis() {
        return base.millis();
    }

    private void measureSpeed(long now) {
        double[] rates = engines.values().stream()
                .filter(engine -> engine.isMeasured(now))
                .mapToDouble(EngineModel::rate)
                .sorted()
                .toArray();
        if (rates.length > 0) {
            speed = rates[rates.length / 2];
        }
    }

    /** Adds the counts of a node to a load; the sum stays within the bounds that receivers accept. */
    private static EngineLoad sum(EngineLoad load, Counts own) {
        return new EngineLoad(
                Math.min(ValueBounds.MAX_TOKENS, load.waitingTokens() + own.waitingTokens()),
                Math.min(ValueBounds.MAX_STREAMS, load.streams() + own.streams()),
                load.paceThousandths(),
                load.longestPauseMillis());
    }

    private record Counts(long waitingTokens, long streams) {}

    private static final class NodeCounts {
        private final Map<String, Counts> engines = new HashMap<>();
        private long heardAt;

        private void set(String engine, long waitingTokens, long streams) {
            if (waitingTokens == 0 && streams == 0) {
                engines.remove(engine);
            } else {
                engines.put(engine, new Counts(waitingTokens, streams));
            }
        }
    }
}
