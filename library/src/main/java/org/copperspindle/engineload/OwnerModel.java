package org.copperspindle.engineload;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * All engines of one pool at its load owner: the counts of each node, and the measured paces.
 */
final class OwnerModel {

    /** Counts of a node that has been silent for longer do not count; nodes confirm theirs more often. */
    static final long MAX_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time in which reports of all nodes about a first event arrive. */
    private static final long SORT_NANOS = 2 * EngineLoads.INTERVAL_NANOS;

    /** Samples that wait to be sorted; more than all engines of a table give in that time. */
    private static final int MAX_UNSORTED = 16 * ValueBounds.MAX_ENGINES;

    /** Engines without counts are forgotten after this time, in which their samples have lost nearly all weight. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(60).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, EngineModel> engines = new HashMap<>();
    private final Map<String, NodeCounts> nodes = new HashMap<>();
    private final SendRate sendRate = new SendRate();
    private final PriorityQueue<ReadPrompt> unsorted =
            new PriorityQueue<>(Comparator.comparingLong(ReadPrompt::firstEventAt));
    private final BaseLatency base = new BaseLatency();
    private double speed;

    /** Takes what a node counted. */
    void merge(String node, EngineSamplesMessage message, long now) {
        NodeCounts counts = nodes.computeIfAbsent(node, n -> new NodeCounts());
        counts.heardAt = now;
        sendRate.add(message.sentTokens(), now);
        for (int i = 0; i < message.engines().size(); i++) {
            String id = message.engines().get(i);
            if (!engines.containsKey(id) && engines.size() >= ValueBounds.MAX_ENGINES) {
                continue;
            }
            EngineModel engine = engines.computeIfAbsent(id, e -> new EngineModel());
            counts.set(id, message.waitingTokens().get(i), message.streams().get(i));
            engine.heard(now);
            engine.addPause(message.longestPauses().get(i), now);
        }
        for (int i = 0; i < message.sampled().size() && unsorted.size() < MAX_UNSORTED; i++) {
            String id = message.engines().get(message.sampled().get(i).intValue());
            long firstEventAt = now - message.sampleAges().get(i) * NANOS_PER_MILLI;
            long sentAt = firstEventAt - message.sampledMillis().get(i) * NANOS_PER_MILLI;
            unsorted.add(new ReadPrompt(id, message.sampledTokens().get(i), sentAt, firstEventAt));
        }
    }

    void forgetNode(String node) {
        nodes.remove(node);
    }

    void forgetEngine(String id) {
        engines.remove(id);
        nodes.values().forEach(counts -> counts.engines.remove(id));
    }

    /**
     * Adds the samples that are old enough for all nodes to have reported earlier ones. An engine reads a prompt from
     * the time at which it was sent, or from the first event of the prompt before it.
     */
    private void addSamples(long now) {
        while (!unsorted.isEmpty() && now - unsorted.peek().firstEventAt() > SORT_NANOS) {
            ReadPrompt prompt = unsorted.poll();
            EngineModel engine = engines.get(prompt.engine());
            if (engine == null || prompt.tokens() == 0) {
                continue;
            }
            long from = Math.max(prompt.sentAt(), engine.lastFirstEventAt());
            boolean waited = from > prompt.sentAt();
            double millis = (double) (prompt.firstEventAt() - from) / NANOS_PER_MILLI;
            if (!waited) {
                base.observe(prompt.tokens(), millis, speed);
            }
            engine.add(prompt.tokens(), waited ? millis : millis - base.millis(), speed, now);
            engine.firstEvent(prompt.firstEventAt());
        }
    }

    /** Updates the median speed of the pool and returns the loads of all its engines. */
    Map<String, EngineLoad> loads(long now) {
        addSamples(now);
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
        loads.entrySet().removeIf(entry -> isUnused(entry.getKey(), entry.getValue(), now));
        engines.keySet().retainAll(loads.keySet());
        return loads;
    }

    private boolean isUnused(String id, EngineLoad load, long now) {
        boolean isIdle = load.waitingTokens() == 0 && load.streams() == 0;
        return isIdle && now - engines.get(id).heardAt() > RETENTION_NANOS;
    }

    /** Returns the median speed in tokens per millisecond, 0 while it is not known. */
    double speed() {
        return speed;
    }

    /** Returns the pace of the slowest engine in thousandths of the median, 1000 unless its slowness is certain. */
    long slowestPace(long now) {
        double slowest = engines.values().stream()
                .mapToDouble(engine -> engine.cautiousPace(speed, now))
                .min()
                .orElse(1);
        return Math.max(1, Math.round(Math.min(1, slowest) * EngineLoad.MEDIAN_PACE));
    }

    long sentPerSecond(long now) {
        return sendRate.perSecond(now);
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
