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
 * Simulated engines that execute the orders of a planner in steps of one second, and check its invariants with each
 * action.
 */
final class PlannedFleet {

    private static final long SECOND = 1_000_000_000L;
    private static final int SETTLE_SECONDS = 3000;

    final List<String> violations = new ArrayList<>();
    List<String> failing = List.of();
    SplittableRandom random = new SplittableRandom(0);
    boolean unresponsive;
    double failureShare;
    int loadSeconds = 5;
    int loadsStarted;
    int failures;

    private final Map<String, UpstreamAnnouncement> announced = new TreeMap<>();
    private final Map<String, OpenOrder> open = new LinkedHashMap<>();
    private final Map<String, Long> endsAt = new LinkedHashMap<>();
    private final List<Long> loadTimes = new ArrayList<>();
    private final List<String> placed = new ArrayList<>();
    private final int domains;
    private FleetPlan plan = FleetPlan.EMPTY;
    private FleetPlanner planner;
    private long now;
    private long sequence;
    private int nextNumber;

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
        String id = String.format("u%04d", nextNumber);
        announce(id, "d" + nextNumber % domains, 1, 1, List.of());
        nextNumber++;
    }

    void remove(String id) {
        announced.remove(id);
    }

    void removeAny() {
        if (announced.size() > 10) {
            remove(randomUpstream());
        }
    }

    /** Restarts an agent: its open order becomes invalid, and the engine keeps its models. */
    void restartAny() {
        String id = randomUpstream();
        UpstreamAnnouncement u = announced.get(id);
        open.remove(id);
        endsAt.remove(id);
        announce(id, u.failureDomain(), u.incarnation() + 1, 1, u.models());
    }

    void loseCopies(String model, int copies) {
        placed.clear();
        holders(model).stream().limit(copies).forEach(this::remove);
    }

    void settle() {
        run(SETTLE_SECONDS);
    }

    void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            now += SECOND;
            completeOrders();
            planner.plan(announced, Map.copyOf(open), now).forEach(this::perform);
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
        return announced.size();
    }

    int serving(String model) {
        return holders(model).size();
    }

    List<String> holders(String model) {
        return announced.values().stream()
                .filter(u -> u.models().contains(model))
                .map(UpstreamAnnouncement::upstreamId)
                .toList();
    }

    List<String> domainsOf(String model) {
        return holders(model).stream()
                .map(id -> announced.get(id).failureDomain())
                .toList();
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

    private String randomUpstream() {
        return List.copyOf(announced.keySet()).get(random.nextInt(announced.size()));
    }

    private void perform(FleetAction action) {
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
            loadsStarted++;
            loadTimes.add(now);
            checkRate();
        } else if (!unresponsive) {
            startUnload(place);
        }
        endsAt.put(place.upstreamId(), unresponsive ? Long.MAX_VALUE : now + loadSeconds * SECOND);
    }

    /** The agent announces the model as gone before the engine unloads it. */
    private void startUnload(FleetAction.Place place) {
        UpstreamAnnouncement u = announced.get(place.upstreamId());
        List<String> remaining = new ArrayList<>(u.models());
        remaining.remove(place.subject());
        announce(u.upstreamId(), u.failureDomain(), u.incarnation(), u.sequence() + 1, remaining);
        String family = ModelName.parse(place.subject()).family();
        boolean wanted = plan.pools().get(0).copies().keySet().stream()
                .anyMatch(m -> ModelName.parse(m).family().equals(family));
        boolean served = announced.values().stream()
                .flatMap(o -> o.models().stream())
                .anyMatch(m -> ModelName.parse(m).family().equals(family));
        if (wanted && !served) {
            violations.add("last copy of " + family + " unloaded");
        }
    }

    private void completeOrders() {
        for (OpenOrder order : List.copyOf(open.values())) {
            String id = order.upstreamId();
            if (announced.containsKey(id) && endsAt.get(id) <= now) {
                open.remove(id);
                complete(order, announced.get(id));
            }
        }
    }

    private void complete(OpenOrder order, UpstreamAnnouncement u) {
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
        announced.put(
                id,
                new UpstreamAnnouncement(
                        id, "p", domain, new InetSocketAddress("127.0.0.1", 1), incarnation, number, models, false));
    }

    /**
     * Checks the share of upstreams in change when an order is placed. It is not checked at other times, because a lost
     * VM, or a smaller share in a new configuration, lowers the limit below the orders already open.
     */
    private void checkShare() {
        long changing = open.keySet().stream().filter(announced::containsKey).count();
        long most = Math.max(1, (long) (plan.pools().get(0).maxInChange() * announced.size()));
        if (changing > most) {
            violations.add(changing + " in change, at most " + most);
        }
    }

    /** Checks, for every interval that ends now, that no more loads started than the burst and the rate permit. */
    private void checkRate() {
        for (int i = 0; i < loadTimes.size(); i++) {
            long loads = loadTimes.size() - i;
            double allowed = plan.weightStore().burst()
                    + (now - loadTimes.get(i))
                            / (double) SECOND
                            * plan.weightStore().loadsPerSecond();
            if (loads > allowed + 1e-6) {
                violations.add(loads + " loads in " + (now - loadTimes.get(i)) / SECOND + " s");
            }
        }
    }
}
