package org.copperspindle.engineload;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * The engines of one pool as a node knows them: its own counts, and the last table of the load owner.
 */
final class NodePool {

    /** Confirms the counts of a node often enough for the owner not to drop them. */
    private static final long CONFIRM_NANOS = OwnerModel.MAX_AGE_NANOS / 3;

    /** Age of the counts of other nodes when a table with them is made: half an interval between reports. */
    private static final long MEAN_REPORT_AGE_NANOS = EngineLoads.SHORT_INTERVAL_NANOS / 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String name;
    private final Map<String, OwnEngine> own = new HashMap<>();
    private final Map<String, EngineLoad> table = new HashMap<>();
    private final PaceRule rule = new PaceRule();
    private String owner = "";
    private long reportedAt = Long.MIN_VALUE / 2;
    private boolean tableKnown;
    private long tableAt;
    private double tokensPerNano;
    private long baseNanos;
    private double sentPerNano;
    private long sentTokens;

    NodePool(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    /** Returns the counts of an engine; an engine that has started again has new ones. */
    OwnEngine engine(UpstreamRecord engine) {
        OwnEngine known = own.get(engine.id());
        if (known == null || known.incarnation() != engine.incarnation()) {
            if (known != null) {
                table.remove(engine.id());
            }
            known = new OwnEngine(engine.incarnation());
            own.put(engine.id(), known);
        }
        return known;
    }

    /** Forgets an engine that has left or started again; attempts in progress end on the old counts. */
    void forget(String engine) {
        own.remove(engine);
        table.remove(engine);
    }

    /** Notes who the load owner is; a new one is told everything, and the table of the old one is dropped. */
    void ownedBy(String node) {
        if (!node.equals(owner)) {
            owner = node;
            startAnew();
        }
    }

    String owner() {
        return owner;
    }

    void startAnew() {
        table.clear();
        tableKnown = false;
        rule.reset();
        own.values().forEach(OwnEngine::reportAgain);
    }

    /** Returns the next report; empty if nothing changed and the last one still holds. */
    Optional<EngineSamplesMessage> report(long now) {
        boolean confirms =
                now - reportedAt >= CONFIRM_NANOS && own.values().stream().anyMatch(e -> !e.isIdle());
        SampleLists lists = new SampleLists();
        own.entrySet().stream()
                .filter(entry -> entry.getValue().isChanged())
                .limit(ValueBounds.MAX_ENGINES)
                .forEach(entry -> entry.getValue().appendTo(lists, entry.getKey(), now));
        EngineSamplesMessage message = lists.message(name, sentTokens);
        return confirms || !message.engines().isEmpty() ? Optional.of(message) : Optional.empty();
    }

    /** Returns whether the last report is so old that another one may be sent at once. */
    boolean mayReport(long intervalNanos, long now) {
        return now - reportedAt >= intervalNanos;
    }

    void sent(long tokens) {
        sentTokens = Math.min(ValueBounds.MAX_TOKENS, sentTokens + tokens);
    }

    /** Returns what all nodes are likely to have sent since the counts in the table were reported. */
    long unseenTokens(long now) {
        return (long) (sentPerNano * (now - tableAt + MEAN_REPORT_AGE_NANOS));
    }

    /** Notes that a report was sent. */
    void reported(EngineSamplesMessage message, long now) {
        reportedAt = now;
        sentTokens = 0;
        message.engines().forEach(id -> own.get(id).reported(now));
    }

    /** Takes a table, or the changes since the last one. */
    void accept(EngineLoadsMessage message, long now) {
        if (!isFresh(now)) {
            rule.reset();
        }
        for (int i = 0; i < message.engines().size(); i++) {
            String id = message.engines().get(i);
            if (table.containsKey(id) || table.size() < ValueBounds.MAX_ENGINES) {
                table.put(id, message.load(i));
            }
        }
        own.values().forEach(engine -> engine.tableArrived(now));
        tokensPerNano = (double) message.tokensPerSecond() / EngineLoads.NANOS_PER_SECOND;
        baseNanos = message.baseMillis() * NANOS_PER_MILLI;
        sentPerNano = message.sentPerSecond() / EngineLoads.NANOS_PER_SECOND;
        tableKnown = true;
        tableAt = now;
        rule.update((double) message.slowestPace() / EngineLoad.MEDIAN_PACE, now);
    }

    boolean isFresh(long now) {
        return tableKnown && now - tableAt <= OwnerModel.MAX_AGE_NANOS;
    }

    /** Returns whether the choice of an engine depends on its pace now. */
    boolean differs(long now) {
        return isFresh(now) && rule.differs() && tokensPerNano > 0;
    }

    /** Returns the tokens that wait at an engine: those in the table, and what this node has sent since. */
    long waitingTokens(UpstreamRecord engine, long now) {
        OwnEngine counts = engine(engine);
        if (!isFresh(now) || !table.containsKey(engine.id())) {
            return counts.waitingTokens();
        }
        long inTable = table.get(engine.id()).waitingTokens();
        return Math.max(counts.waitingTokens(), inTable + counts.tokensSinceTable());
    }

    /** Returns the attempts in progress at an engine: those in the table, and what this node has started since. */
    private long streams(UpstreamRecord engine) {
        OwnEngine counts = engine(engine);
        long inTable = table.getOrDefault(engine.id(), EngineLoad.NONE).streams();
        return Math.max(counts.streams(), inTable + counts.streamsSinceTable());
    }

    /** Returns the estimate for a prompt; empty without a fresh table. */
    Optional<EngineEstimate> estimate(UpstreamRecord engine, EnginePrompt prompt, boolean cached, long now) {
        if (!isFresh(now) || tokensPerNano <= 0) {
            return Optional.empty();
        }
        EngineLoad load = table.getOrDefault(engine.id(), EngineLoad.NONE);
        long waiting = waitingTokens(engine, now);
        double speed = tokensPerNano * load.pace();
        double readNanos = (waiting + prompt.unreadTokens(cached)) / speed;
        return Optional.of(new EngineEstimate(
                (long) readNanos + baseNanos,
                baseNanos,
                speed,
                load.pace(),
                waiting,
                streams(engine),
                cached,
                load.longestPauseMillis() * NANOS_PER_MILLI));
    }

    double slowestPace() {
        return table.values().stream().mapToDouble(EngineLoad::pace).min().orElse(1);
    }

    /** Returns the tokens that wait at all engines, of this node alone if the table is not fresh. */
    long waitingTokens(long now) {
        return isFresh(now)
                ? table.values().stream().mapToLong(EngineLoad::waitingTokens).sum()
                : own.values().stream().mapToLong(OwnEngine::waitingTokens).sum();
    }

    /** Returns the running streams of this node. */
    long streams() {
        return own.values().stream().mapToLong(OwnEngine::streams).sum();
    }

    double tableAgeSeconds(long now) {
        return tableKnown ? (double) (now - tableAt) / EngineLoads.NANOS_PER_SECOND : -1;
    }
}
