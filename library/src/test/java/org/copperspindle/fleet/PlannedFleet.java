package org.copperspindle.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.settings.SettingsException;

/**
 * Engines that carry out what a planner orders, second by second, and a check of every promise after each.
 */
final class PlannedFleet {

    private static final long SECOND = 1_000_000_000L;
    private static final int SETTLE_SECONDS = 3000;

    final List<String> broken = new ArrayList<>();
    List<String> failing = List.of();
    SplittableRandom random = new SplittableRandom(0);
    boolean unheard;
    double failureShare;
    int loadSeconds = 5;
    int loadsBegun;
    int failures;

    private final Map<String, UpstreamAnnouncement> seen = new TreeMap<>();
    private final Map<String, OpenOrder> open = new LinkedHashMap<>();
    private final Map<String, Long> endsAt = new LinkedHashMap<>();
    private final List<Long> loadTimes = new ArrayList<>();
    private final List<String> placed = new ArrayList<>();
    private final int domains;
    private FleetPlan plan = FleetPlan.EMPTY;
    private FleetPlanner planner;
    private long now;
    private long sequence;
    private int named;

    PlannedFleet(int upstreams, int domains, String placement) {
        this.domains = domains;
        this.planner = new FleetPlanner(0);
        for (int i = 0; i < upstreams; i++) {
            addOne();
        }
        configure(placement);
    }

    void configure(String placement) {
        try {
            plan = PlacementLoader.parse("[weight-store]\nloads-per-second = 0.5\n[placement p]\n" + placement);
        } catch (SettingsException e) {
            throw new IllegalStateException(e);
        }
        planner.onPlan(plan);
    }

    void changeLeader() {
        planner = new FleetPlanner(now);
        planner.onPlan(plan);
    }

    void addOne() {
        String id = String.format("u%04d", named);
        announce(id, "d" + named % domains, 1, 1, List.of());
        named++;
    }

    void remove(String id) {
        seen.remove(id);
    }

    void removeAny() {
        if (seen.size() > 10) {
            remove(any());
        }
    }

    /** The agent starts again: its open order is void, and the engine is as it was. */
    void restartAny() {
        String id = any();
        UpstreamAnnouncement u = seen.get(id);
        open.remove(id);
        endsAt.remove(id);
        announce(id, u.failureDomain(), u.incarnation() + 1, 1, u.models());
    }

    void lose(String model, int copies) {
        placed.clear();
        holders(model).stream().limit(copies).forEach(this::remove);
    }

    void settle() {
        run(SETTLE_SECONDS);
    }

    void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            now += SECOND;
            finish();
            planner.plan(seen, Map.copyOf(open), now).forEach(this::act);
        }
    }

    List<String> placed() {
        run(60);
        return placed;
    }

    List<String> openUpstreams() {
        return List.copyOf(open.keySet());
    }

    int size() {
        return seen.size();
    }

    int serving(String model) {
        return holders(model).size();
    }

    List<String> holders(String model) {
        return seen.values().stream()
                .filter(u -> u.models().contains(model))
                .map(UpstreamAnnouncement::upstreamId)
                .toList();
    }

    List<String> domainsOf(String model) {
        return holders(model).stream().map(id -> seen.get(id).failureDomain()).toList();
    }

    List<String> shortfalls() {
        List<String> missing = new ArrayList<>();
        plan.pools().get(0).copies().forEach((model, copies) -> {
            if (serving(model) < copies) {
                missing.add(model + " " + serving(model) + "/" + copies);
            }
        });
        return missing;
    }

    private String any() {
        return List.copyOf(seen.keySet()).get(random.nextInt(seen.size()));
    }

    private void act(FleetAction action) {
        if (action instanceof FleetAction.Withdraw withdraw) {
            open.remove(withdraw.order().upstreamId());
            planner.onEnded(withdraw.order(), OrderOutcome.WITHDRAWN, now);
            return;
        }
        FleetAction.Place place = (FleetAction.Place) action;
        planner.onProposed(place.upstreamId());
        open.put(place.upstreamId(), new OpenOrder(place.upstreamId(), 1, ++sequence, place.kind(), place.subject()));
        checkShare();
        placed.add(place.kind() + " " + place.subject());
        if (place.kind().loads()) {
            loadsBegun++;
            loadTimes.add(now);
            checkRate();
        } else if (!unheard) {
            unloadBegins(place);
        }
        endsAt.put(place.upstreamId(), unheard ? Long.MAX_VALUE : now + loadSeconds * SECOND);
    }

    /** The agent announces the model as gone before the engine unloads it. */
    private void unloadBegins(FleetAction.Place place) {
        UpstreamAnnouncement u = seen.get(place.upstreamId());
        List<String> left = new ArrayList<>(u.models());
        left.remove(place.subject());
        announce(u.upstreamId(), u.failureDomain(), u.incarnation(), u.sequence() + 1, left);
        String family = ModelName.parse(place.subject()).family();
        boolean wanted = plan.pools().get(0).copies().keySet().stream()
                .anyMatch(m -> ModelName.parse(m).family().equals(family));
        boolean served = seen.values().stream()
                .flatMap(o -> o.models().stream())
                .anyMatch(m -> ModelName.parse(m).family().equals(family));
        if (wanted && !served) {
            broken.add("last copy of " + family + " unloaded");
        }
    }

    private void finish() {
        for (OpenOrder order : List.copyOf(open.values())) {
            String id = order.upstreamId();
            if (seen.containsKey(id) && endsAt.get(id) <= now) {
                open.remove(id);
                end(order, seen.get(id));
            }
        }
    }

    private void end(OpenOrder order, UpstreamAnnouncement u) {
        boolean fails = failing.contains(order.subject()) || random.nextDouble() < failureShare;
        if (fails) {
            failures++;
            planner.onEnded(order, OrderOutcome.FAILED, now);
            return;
        }
        if (order.kind().loads()) {
            List<String> models = new ArrayList<>(u.models());
            models.add(order.subject());
            announce(u.upstreamId(), u.failureDomain(), u.incarnation(), u.sequence() + 1, models);
        }
        planner.onEnded(order, OrderOutcome.DONE, now);
    }

    private void announce(String id, String domain, long incarnation, long number, List<String> models) {
        seen.put(
                id,
                new UpstreamAnnouncement(
                        id, "p", domain, new InetSocketAddress("127.0.0.1", 1), incarnation, number, models, false));
    }

    /**
     * Checked whenever an order is placed: a VM that is lost, or a smaller share in a new configuration, lowers the
     * bound under orders given before.
     */
    private void checkShare() {
        long changing = open.keySet().stream().filter(seen::containsKey).count();
        long most = Math.max(1, (long) (plan.pools().get(0).maxInChange() * seen.size()));
        if (changing > most) {
            broken.add(changing + " in change, at most " + most);
        }
    }

    /** Over every stretch that ends now: no more loads than the burst and the rate over its length. */
    private void checkRate() {
        for (int i = 0; i < loadTimes.size(); i++) {
            long loads = loadTimes.size() - i;
            double allowed = plan.weightStore().burst()
                    + (now - loadTimes.get(i))
                            / (double) SECOND
                            * plan.weightStore().loadsPerSecond();
            if (loads > allowed + 1e-6) {
                broken.add(loads + " loads in " + (now - loadTimes.get(i)) / SECOND + " s");
            }
        }
    }
}
