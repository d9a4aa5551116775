package org.copperspindle.benchmarks;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.fleet.FleetAction;
import org.copperspindle.fleet.FleetPlan;
import org.copperspindle.fleet.FleetPlanner;
import org.copperspindle.fleet.OpenOrder;
import org.copperspindle.fleet.PlacementLoader;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.settings.SettingsException;

/**
 * Measures one run of the planner by number of upstreams, with 33 models: in peace, and right after a failure domain of
 * 14 is lost, when shortfalls are highest.
 */
public final class PlannerMeasurement {

    private static final int MODELS = 33;
    private static final int DOMAINS = 14;
    private static final int RUNS = 200;
    private static final long SECOND = 1_000_000_000L;
    private static final List<Integer> UPSTREAMS = List.of(430, 1075, 2150, 4300);

    private PlannerMeasurement() {}

    /**
     * Runs the measurement and prints one line for each point.
     *
     * @param arguments none
     * @throws SettingsException never, the placement is well formed
     */
    public static void main(String[] arguments) throws SettingsException {
        for (int upstreams : UPSTREAMS) {
            Map<String, UpstreamAnnouncement> whole = fleet(upstreams);
            Map<String, UpstreamAnnouncement> lost = new LinkedHashMap<>(whole);
            lost.values().removeIf(u -> u.failureDomain().equals("d0"));
            System.out.println("upstreams=" + upstreams + " models=" + MODELS + " peace-micros="
                    + micros(whole, upstreams) + " domain-lost-micros=" + micros(lost, upstreams));
        }
    }

    /** Median time of the later runs, and the longest of all after the first ten; orders stay open, as with loads that take longer than the measurement. */
    private static String micros(Map<String, UpstreamAnnouncement> seen, int upstreams) throws SettingsException {
        FleetPlanner planner = new FleetPlanner(0);
        planner.onPlan(plan(upstreams));
        Map<String, OpenOrder> open = new HashMap<>();
        List<Long> times = new ArrayList<>();
        for (int run = 1; run <= RUNS; run++) {
            long start = System.nanoTime();
            List<FleetAction> actions = planner.plan(seen, open, run * SECOND);
            times.add((System.nanoTime() - start) / 1000);
            for (FleetAction action : actions) {
                FleetAction.Place place = (FleetAction.Place) action;
                planner.onProposed(place.upstreamId());
                open.put(place.upstreamId(), new OpenOrder(place.upstreamId(), 1, run, place.kind(), place.subject()));
            }
        }
        long median = times.subList(RUNS / 2, RUNS).stream().sorted().toList().get(RUNS / 4);
        long longest = times.subList(10, RUNS).stream().mapToLong(t -> t).max().orElseThrow();
        return median + " (longest " + longest + ")";
    }

    /** Two slots an upstream: models are spread evenly, one slot is left free on a tenth of the upstreams. */
    private static Map<String, UpstreamAnnouncement> fleet(int upstreams) {
        Map<String, UpstreamAnnouncement> seen = new LinkedHashMap<>();
        for (int i = 0; i < upstreams; i++) {
            List<String> models = i % 10 == 0
                    ? List.of("m" + i % MODELS)
                    : List.of("m" + i % MODELS, "m" + (i + MODELS / 2) % MODELS);
            seen.put(
                    "u" + i,
                    new UpstreamAnnouncement(
                            "u" + i,
                            "p",
                            "d" + i % DOMAINS,
                            new InetSocketAddress("127.0.0.1", 1),
                            1,
                            1,
                            models,
                            false));
        }
        return seen;
    }

    private static FleetPlan plan(int upstreams) throws SettingsException {
        List<String> copies = new ArrayList<>();
        for (int m = 0; m < MODELS; m++) {
            copies.add("m" + m + ":" + upstreams * 18 / 10 / MODELS);
        }
        return PlacementLoader.parse("[placement p]\nslots = 2\ncopies = " + String.join(", ", copies) + "\n");
    }
}
