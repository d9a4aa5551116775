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
 * Decides which orders bring the fleet from the placement that is seen to the one that is wanted. Pure: the leader
 * makes one for its term, from the replicated state and the announcements; nothing of it has to survive.
 */
public final class FleetPlanner {

    /** How long an ended order counts as done before the announcement shows it. */
    private static final long SETTLE_NANOS = 10_000_000_000L;

    private final WeightBudget budget;
    private final LoadBackoff backoff = new LoadBackoff();
    private final Map<String, FleetAction.Place> placing = new HashMap<>();
    private final Map<String, Long> openSince = new HashMap<>();
    private final Map<String, Settling> settling = new HashMap<>();
    private FleetPlan plan = FleetPlan.EMPTY;
    private int loading;

    /**
     * Creates the planner of a leader that has just begun its term.
     *
     * @param now monotonic time in nanoseconds
     */
    public FleetPlanner(long now) {
        this.budget = new WeightBudget(now);
    }

    /**
     * Takes the wanted placement.
     *
     * @param newest the plan of the newest configuration
     */
    public void onPlan(FleetPlan newest) {
        plan = newest;
        budget.settings(newest.weightStore());
    }

    /**
     * Notes that a wanted order is committed, or will never be.
     *
     * @param upstreamId upstream of the order
     */
    public void onProposed(String upstreamId) {
        placing.remove(upstreamId);
    }

    /**
     * Notes how an order ended.
     *
     * @param order   the order
     * @param outcome how it ended
     * @param now     monotonic time in nanoseconds
     */
    public void onEnded(OpenOrder order, OrderOutcome outcome, long now) {
        if (outcome == OrderOutcome.DONE) {
            backoff.succeeded(order.upstreamId(), order.subject());
            settling.put(order.upstreamId(), new Settling(order.kind().loads(), order.subject(), now + SETTLE_NANOS));
        } else {
            backoff.failed(order.upstreamId(), order.subject(), now);
        }
    }

    /**
     * Plans.
     *
     * @param seen upstreams as announced, by identity
     * @param open open orders, by upstream
     * @param now  monotonic time in nanoseconds
     * @return what to do now
     */
    public List<FleetAction> plan(Map<String, UpstreamAnnouncement> seen, Map<String, OpenOrder> open, long now) {
        forget(seen, open, now);
        List<FleetAction> actions = new ArrayList<>();
        Map<String, OpenOrder> kept = new HashMap<>(open);
        for (OpenOrder order : open.values()) {
            expiry(order, seen, now).ifPresent(reason -> {
                kept.remove(order.upstreamId());
                actions.add(new FleetAction.Withdraw(order, reason));
            });
        }
        loading = (int) kept.values().stream().filter(o -> o.kind().loads()).count()
                + (int) placing.values().stream().filter(p -> p.kind().loads()).count();
        Map<String, List<UpstreamAnnouncement>> byPool = new HashMap<>();
        seen.values().stream()
                .filter(u -> !u.draining())
                .forEach(u ->
                        byPool.computeIfAbsent(u.pool(), p -> new ArrayList<>()).add(u));
        for (PlacementSettings pool : plan.pools()) {
            place(view(pool, byPool.getOrDefault(pool.pool(), List.of()), kept), now, actions);
        }
        return actions;
    }

    private void place(PoolView view, long now, List<FleetAction> actions) {
        Set<String> stuck = new LinkedHashSet<>();
        // Without a load that may begin there is nothing to place, and no slot is emptied ahead of time.
        while (view.mayChangeMore() && mayLoad(now)) {
            Optional<String> next = view.shortfalls().stream()
                    .filter(s -> !stuck.contains(s) && backoff.allows(s, now))
                    .findFirst();
            if (next.isEmpty()) {
                return;
            }
            Optional<FleetAction.Place> step = step(view, next.get(), now);
            if (step.isEmpty()) {
                stuck.add(next.get());
                continue;
            }
            placing.put(step.get().upstreamId(), step.get());
            view.changing(step.get().upstreamId(), step.get().kind(), step.get().subject());
            actions.add(step.get());
        }
    }

    private Optional<FleetAction.Place> step(PoolView view, String subject, long now) {
        Optional<String> target = view.loadTarget(subject, id -> backoff.allows(id, subject, now));
        if (target.isEmpty()) {
            return view.makeRoom(subject, id -> backoff.allows(id, subject, now));
        }
        budget.take();
        loading++;
        boolean adapter = ModelName.parse(subject).adapter().isPresent();
        return Optional.of(
                new FleetAction.Place(target.get(), adapter ? OrderKind.LOAD_ADAPTER : OrderKind.LOAD_MODEL, subject));
    }

    private boolean mayLoad(long now) {
        return loading < plan.weightStore().concurrentLoads() && budget.ready(now);
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
            } else if (placing.containsKey(id)) {
                view.changing(id, placing.get(id).kind(), placing.get(id).subject());
            }
        }
        return view;
    }

    private List<String> subjects(UpstreamAnnouncement upstream) {
        Settling settled = settling.get(upstream.upstreamId());
        if (settled == null || settled.loaded() == upstream.models().contains(settled.subject())) {
            return upstream.models();
        }
        List<String> subjects = new ArrayList<>(upstream.models());
        if (settled.loaded()) {
            subjects.add(settled.subject());
        } else {
            subjects.remove(settled.subject());
        }
        return subjects;
    }

    private Optional<String> expiry(OpenOrder order, Map<String, UpstreamAnnouncement> seen, long now) {
        UpstreamAnnouncement upstream = seen.get(order.upstreamId());
        if (upstream == null) {
            return Optional.of("upstream-gone");
        }
        // An unload that is given up may still be carried out later; counted as serving meanwhile, its copy could make
        // another one look superfluous, and both would go. It stays open until its end is known.
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

    private void forget(Map<String, UpstreamAnnouncement> seen, Map<String, OpenOrder> open, long now) {
        settling.entrySet().removeIf(s -> s.getValue().until() <= now || !seen.containsKey(s.getKey()));
        Set<String> keys = new LinkedHashSet<>();
        open.values().forEach(o -> keys.add(o.upstreamId() + o.sequence()));
        openSince.keySet().retainAll(keys);
    }

    /** An order that has ended and whose effect is not announced yet. */
    private record Settling(boolean loaded, String subject, long until) {}
}
