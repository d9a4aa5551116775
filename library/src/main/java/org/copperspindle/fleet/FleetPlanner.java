package org.copperspindle.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * Plans the orders that bring the fleet from the observed placement to the desired one. Performs no I/O. Each leader
 * creates a planner for its term from the replicated state and the announcements, so the state of a planner need not
 * survive a change of leader.
 */
public final class FleetPlanner {

    /** How long the effect of a completed order is assumed before the announcement shows it. */
    private static final long EFFECT_TIMEOUT_NANOS = 10_000_000_000L;

    private final LoadTokenBucket loadTokens;
    private final LoadBackoff backoff = new LoadBackoff();
    private final Map<String, FleetAction.Place> proposed = new HashMap<>();
    private final Map<String, Long> openSince = new HashMap<>();
    private final Map<String, PendingEffect> pendingEffects = new HashMap<>();
    private FleetPlan plan = FleetPlan.EMPTY;
    private int loadsInProgress;

    /**
     * Creates the planner of a leader whose term has just begun.
     *
     * @param now monotonic time in nanoseconds
     */
    public FleetPlanner(long now) {
        this.loadTokens = new LoadTokenBucket(now);
    }

    /**
     * Sets the desired placement.
     *
     * @param newest plan of the newest configuration
     */
    public void onPlan(FleetPlan newest) {
        plan = newest;
        loadTokens.settings(newest.weightStore());
    }

    /**
     * Records that a planned order has been committed, or will never be.
     *
     * @param upstreamId upstream of the order
     */
    public void onProposed(String upstreamId) {
        proposed.remove(upstreamId);
    }

    /**
     * Records the outcome of an order.
     *
     * @param order   the order
     * @param outcome its outcome
     * @param now     monotonic time in nanoseconds
     */
    public void onEnded(OpenOrder order, OrderOutcome outcome, long now) {
        if (outcome == OrderOutcome.DONE) {
            backoff.succeeded(order.upstreamId(), order.subject());
            pendingEffects.put(
                    order.upstreamId(),
                    new PendingEffect(order.kind().loads(), order.subject(), now + EFFECT_TIMEOUT_NANOS));
        } else {
            backoff.failed(order.upstreamId(), order.subject(), now);
        }
    }

    /**
     * Plans the next actions.
     *
     * @param announced announced upstreams, by upstream id
     * @param open open orders, by upstream
     * @param now  monotonic time in nanoseconds
     * @return the actions to perform now
     */
    public List<FleetAction> plan(Map<String, UpstreamAnnouncement> announced, Map<String, OpenOrder> open, long now) {
        removeStale(announced, open, now);
        List<FleetAction> actions = new ArrayList<>();
        Map<String, OpenOrder> remaining = new HashMap<>(open);
        for (OpenOrder order : open.values()) {
            withdrawalReason(order, announced, now).ifPresent(reason -> {
                remaining.remove(order.upstreamId());
                actions.add(new FleetAction.Withdraw(order, reason));
            });
        }
        loadsInProgress = (int) remaining.values().stream()
                        .filter(o -> o.kind().loads())
                        .count()
                + (int) proposed.values().stream().filter(p -> p.kind().loads()).count();
        Map<String, List<UpstreamAnnouncement>> byPool = new HashMap<>();
        announced.values().stream()
                .filter(u -> !u.draining())
                .forEach(u ->
                        byPool.computeIfAbsent(u.pool(), p -> new ArrayList<>()).add(u));
        for (PlacementSettings pool : plan.pools()) {
            placeMissing(view(pool, byPool.getOrDefault(pool.pool(), List.of()), remaining), now, actions);
        }
        return actions;
    }

    private void placeMissing(PoolView view, long now, List<FleetAction> actions) {
        Set<String> blocked = new LinkedHashSet<>();
        // If no load may start now, nothing is placed, and no slot is freed in advance.
        while (view.mayStartChange() && mayStartLoad(now)) {
            Optional<String> next = view.shortfalls().stream()
                    .filter(s -> !blocked.contains(s) && backoff.allows(s, now))
                    .findFirst();
            if (next.isEmpty()) {
                return;
            }
            Optional<FleetAction.Place> nextAction = nextAction(view, next.get(), now);
            if (nextAction.isEmpty()) {
                blocked.add(next.get());
                continue;
            }
            proposed.put(nextAction.get().upstreamId(), nextAction.get());
            view.changing(
                    nextAction.get().upstreamId(),
                    nextAction.get().kind(),
                    nextAction.get().subject());
            actions.add(nextAction.get());
        }
    }

    private Optional<FleetAction.Place> nextAction(PoolView view, String subject, long now) {
        Optional<String> target = view.loadTarget(subject, id -> backoff.allows(id, subject, now));
        if (target.isEmpty()) {
            return view.freeSlot(subject, id -> backoff.allows(id, subject, now));
        }
        loadTokens.take();
        loadsInProgress++;
        boolean adapter = ModelName.parse(subject).adapter().isPresent();
        return Optional.of(
                new FleetAction.Place(target.get(), adapter ? OrderKind.LOAD_ADAPTER : OrderKind.LOAD_MODEL, subject));
    }

    private boolean mayStartLoad(long now) {
        return loadsInProgress < plan.weightStore().concurrentLoads() && loadTokens.hasToken(now);
    }

    private PoolView view(PlacementSettings pool, List<UpstreamAnnouncement> upstreams, Map<String, OpenOrder> open) {
        PoolView view = new PoolView(pool);
        for (UpstreamAnnouncement upstream : upstreams) {
            view.add(upstream, subjects(upstream));
        }
        for (UpstreamAnnouncement upstream : upstreams) {
            String id = upstream.upstreamId();
            if (open.containsKey(id)) {
                view.changing(id, open.get(id).kind(), open.get(id).subject());
            } else if (proposed.containsKey(id)) {
                view.changing(id, proposed.get(id).kind(), proposed.get(id).subject());
            }
        }
        return view;
    }

    private List<String> subjects(UpstreamAnnouncement upstream) {
        PendingEffect effect = pendingEffects.get(upstream.upstreamId());
        if (effect == null || effect.loaded() == upstream.models().contains(effect.subject())) {
            return upstream.models();
        }
        List<String> subjects = new ArrayList<>(upstream.models());
        if (effect.loaded()) {
            subjects.add(effect.subject());
        } else {
            subjects.remove(effect.subject());
        }
        return subjects;
    }

    private Optional<String> withdrawalReason(OpenOrder order, Map<String, UpstreamAnnouncement> announced, long now) {
        UpstreamAnnouncement upstream = announced.get(order.upstreamId());
        if (upstream == null) {
            return Optional.of("upstream-gone");
        }
        // An abandoned unload may still be executed later. If its copy counted as serving in the meantime, another copy
        // could look like a surplus, and both would be unloaded. The order stays open until its outcome is known.
        if (order.kind().unloads()) {
            return Optional.empty();
        }
        long since = openSince.computeIfAbsent(order.upstreamId() + order.sequence(), o -> now);
        return plan.pools().stream()
                .filter(p -> p.pool().equals(upstream.pool()))
                .filter(p -> now - since > p.loadTimeout().toNanos())
                .map(p -> "timeout")
                .findFirst();
    }

    private void removeStale(Map<String, UpstreamAnnouncement> announced, Map<String, OpenOrder> open, long now) {
        pendingEffects.entrySet().removeIf(s -> s.getValue().until() <= now || !announced.containsKey(s.getKey()));
        Set<String> keys = new LinkedHashSet<>();
        open.values().forEach(o -> keys.add(o.upstreamId() + o.sequence()));
        openSince.keySet().retainAll(keys);
    }

    /** The effect of a completed order that has not been announced yet. */
    private record PendingEffect(boolean loaded, String subject, long until) {}
}
