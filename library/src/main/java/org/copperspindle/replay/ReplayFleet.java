package org.copperspindle.replay;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.PoolSettings;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.VirtualTimerService;

/**
 * The upstream models of one replay and their membership. An upstream that stops leaves the membership when its
 * lease expires, and returns as a new incarnation.
 */
final class ReplayFleet {

    private static final long LEASE_NANOS = 3_000_000_000L;
    private static final long HEARTBEAT_NANOS = 1_000_000_000L;

    private final VirtualTimerService timers;
    private final Map<String, UpstreamModel> models = new LinkedHashMap<>();
    private final Map<String, Long> incarnations = new LinkedHashMap<>();
    private final List<ReplayEntry> entries = new ArrayList<>();
    private long revision = 1;

    ReplayFleet(Deployment deployment, VirtualTimerService timers, ReplayTally tally) {
        this.timers = timers;
        new TreeMap<>(deployment.pools()).values().forEach(pool -> addPool(pool, timers, tally));
    }

    UpstreamModel model(String upstreamId) {
        return models.get(upstreamId);
    }

    /** Adds an entry, which receives the membership and its updates. */
    void addEntry(ReplayEntry entry) {
        entries.add(entry);
        List<byte[]> all = models.values().stream().map(this::announcement).toList();
        entry.onUpdate(new ControlUpdateMessage(1, 0, "", true, revision, all, List.of()));
    }

    /** Schedules the faults of a trace and, until its end, the heartbeats that report load. */
    void schedule(List<TraceFault> faults, long endNanos) {
        for (TraceFault fault : faults) {
            timers.schedule(fault.fromNanos(), () -> apply(fault, true));
            timers.schedule(fault.untilNanos(), () -> apply(fault, false));
        }
        for (long at = HEARTBEAT_NANOS; at < endNanos; at += HEARTBEAT_NANOS) {
            timers.schedule(at, this::heartbeat);
        }
    }

    private void addPool(PoolSettings pool, VirtualTimerService timerService, ReplayTally tally) {
        for (int i = 0; i < pool.size(); i++) {
            String domain = pool.failureDomains().get(i % pool.failureDomains().size());
            String id = pool.name() + "-" + i;
            models.put(id, new UpstreamModel(id, domain, pool, timerService, tally));
            incarnations.put(id, 1L);
        }
    }

    private void apply(TraceFault fault, boolean starts) {
        Map<String, Integer> affectedByPool = new TreeMap<>();
        for (UpstreamModel model : models.values()) {
            if (!matches(fault, model)) {
                continue;
            }
            int affected = affectedByPool.merge(model.pool().name(), 1, Integer::sum);
            if (fault.count() > 0 && affected > fault.count()) {
                continue;
            }
            model.fault(fault, starts);
            if (fault.effect() == FaultEffect.CRASH || fault.effect() == FaultEffect.LOST) {
                updateMembership(model, starts);
            }
        }
    }

    private static boolean matches(TraceFault fault, UpstreamModel model) {
        boolean pool =
                fault.pool().isEmpty() || fault.pool().equals(model.pool().name());
        boolean domain =
                fault.failureDomain().isEmpty() || fault.failureDomain().equals(model.failureDomain());
        return pool && domain;
    }

    private void updateMembership(UpstreamModel model, boolean starts) {
        if (starts) {
            byte[] id = model.id().getBytes(StandardCharsets.UTF_8);
            timers.schedule(LEASE_NANOS, () -> {
                if (!model.alive()) {
                    publish(List.of(), List.of(id));
                }
            });
            return;
        }
        incarnations.merge(model.id(), 1L, Long::sum);
        publish(List.of(announcement(model)), List.of());
    }

    private void publish(List<byte[]> changed, List<byte[]> removed) {
        revision++;
        ControlUpdateMessage update = new ControlUpdateMessage(1, 0, "", false, revision, changed, removed);
        entries.forEach(entry -> entry.onUpdate(update));
    }

    private void heartbeat() {
        for (UpstreamModel model : models.values()) {
            if (model.alive()) {
                entries.forEach(entry -> entry.onLoad(model.id(), model.reportedInFlight()));
            }
        }
        entries.forEach(ReplayEntry::resumeAll);
    }

    private byte[] announcement(UpstreamModel model) {
        return UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                model.id(),
                model.pool().name(),
                model.failureDomain(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                incarnations.get(model.id()),
                1,
                model.pool().models(),
                false));
    }
}
