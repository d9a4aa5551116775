package org.copperspindle.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.config.PoolSettings;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.copperspindle.settings.SettingsSection;

/**
 * Parses the sections {@code [placement POOL]} and {@code [weight-store]} of a deployment file.
 */
public final class PlacementLoader {

    /** Kinds of the sections that are parsed here. */
    public static final List<String> KINDS = List.of("placement", "weight-store");

    private static final int MAX_COPIES = 100_000;

    private PlacementLoader() {}

    /**
     * Parses the placement from text that has been validated before.
     *
     * @param text the INI text of a deployment
     * @return the plan
     * @throws SettingsException if the text is not valid INI
     */
    public static FleetPlan parse(String text) throws SettingsException {
        return read(SettingsFile.parse("deployment", text), Optional.empty());
    }

    /**
     * Parses the placement and records problems in the file.
     *
     * @param file  the deployment file
     * @param pools its pools
     * @return the plan
     */
    public static FleetPlan check(SettingsFile file, Map<String, PoolSettings> pools) {
        return read(file, Optional.of(pools));
    }

    private static FleetPlan read(SettingsFile file, Optional<Map<String, PoolSettings>> pools) {
        WeightStoreSettings store =
                file.has("weight-store") ? store(file.section("weight-store")) : WeightStoreSettings.DEFAULT;
        List<PlacementSettings> placements = new ArrayList<>();
        for (SettingsSection section : file.sections("placement")) {
            placements.add(placement(section));
            pools.ifPresent(knownPools -> checkReferences(section, knownPools));
        }
        return new FleetPlan(store, List.copyOf(placements));
    }

    private static WeightStoreSettings store(SettingsSection s) {
        WeightStoreSettings defaults = WeightStoreSettings.DEFAULT;
        WeightStoreSettings store = new WeightStoreSettings(
                s.getDouble("loads-per-second", 0.001, 1000, Optional.of(defaults.loadsPerSecond())),
                (int) s.getLong("burst", 1, 1000, Optional.of((long) defaults.burst())),
                (int) s.getLong("concurrent-loads", 1, 1000, Optional.of((long) defaults.concurrentLoads())));
        s.finish();
        return store;
    }

    private static PlacementSettings placement(SettingsSection s) {
        PlacementSettings placement = new PlacementSettings(
                s.subject(),
                copies(s),
                (int) s.getLong("slots", 1, 1000, Optional.of(1L)),
                (int) s.getLong("adapter-slots", 0, 10_000, Optional.of(0L)),
                s.getDouble("max-in-change", 0.001, 1, Optional.of(0.25)),
                s.getDuration("load-timeout", Optional.of(Duration.ofMinutes(10))),
                s.getString("weights-path", "a folder as the engines see it", "/weights"));
        s.finish();
        return placement;
    }

    private static Map<String, Integer> copies(SettingsSection s) {
        Map<String, Integer> copies = new LinkedHashMap<>();
        for (String item : s.getList("copies", "MODEL:COPIES, ...", Optional.empty())) {
            int colon = item.lastIndexOf(':');
            String count = item.substring(colon + 1).trim();
            if (colon < 1 || !count.matches("[0-9]{1,6}") || Integer.parseInt(count) > MAX_COPIES) {
                s.reject("copies", "bad item '" + item + "'", "MODEL:COPIES, such as llm-1@3:4");
            } else if (copies.put(item.substring(0, colon).trim(), Integer.parseInt(count)) != null) {
                s.reject("copies", "named twice: '" + item + "'", "each model once");
            }
        }
        return copies;
    }

    private static void checkReferences(SettingsSection s, Map<String, PoolSettings> pools) {
        PoolSettings pool = pools.get(s.subject());
        if (pool == null) {
            s.reject("", "unknown pool '" + s.subject() + "'", "one of " + String.join(", ", pools.keySet()));
            return;
        }
        copies(s).keySet().stream()
                .filter(model -> !pool.models().contains(model))
                .forEach(model -> s.reject("copies", "the pool does not serve '" + model + "'", "its models"));
    }
}
