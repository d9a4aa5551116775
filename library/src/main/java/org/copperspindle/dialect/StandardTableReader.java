package org.copperspindle.dialect;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;

import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.CallerLimits;
import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.ColdLimits;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.RouteTableCheck;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.copperspindle.settings.SettingsProblem;
import org.copperspindle.settings.SettingsSection;

/**
 * Reads route tables written in INI: sections {@code [table]}, {@code [limits]}, {@code [account NAME]},
 * {@code [pool NAME]}, {@code [route NAME]}, and {@code [stage ROUTE/NUMBER]}.
 */
public final class StandardTableReader implements RouteTableReader {

    private static final List<String> SECTION_KINDS = List.of("table", "limits", "account", "pool", "route", "stage");
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_ATTEMPTS = 10;
    private static final int MAX_RANK = 9;

    /** With weights further apart, one request of a small account would count for minutes of a shared pool. */
    private static final double MIN_ACCOUNT_WEIGHT = 0.001;

    private static final double MAX_ACCOUNT_WEIGHT = 1000;

    @Override
    public RouteTableResult read(byte[] text) {
        try {
            SettingsFile file = SettingsFile.parse("table", new String(text, StandardCharsets.UTF_8));
            List<UpstreamPool> pools = file.sections("pool").stream()
                    .map(StandardTableReader::pool)
                    .toList();
            RouteTable table = new RouteTable(
                    version(file.section("table")),
                    file.sections("route").stream().map(s -> route(file, s)).toList(),
                    pools,
                    accounts(file),
                    limits(file));
            file.finish(SECTION_KINDS);
            return RouteTableCheck.findProblem(
                            table, pools.stream().map(UpstreamPool::name).toList())
                    .<RouteTableResult>map(RouteTableResult.Invalid::new)
                    .orElseGet(() -> new RouteTableResult.Valid(table));
        } catch (SettingsException e) {
            return new RouteTableResult.Invalid(
                    e.problems().stream().map(SettingsProblem::toString).collect(Collectors.joining("; ")));
        }
    }

    private static long version(SettingsSection s) {
        long version = s.getLong("version", 1, Long.MAX_VALUE, Optional.empty());
        s.finish();
        return version;
    }

    private static Route route(SettingsFile file, SettingsSection s) {
        Route route = new Route(
                s.subject(),
                s.getString("host", "the host that requests name"),
                s.getString("path-prefix", "a path that begins and ends with a slash"),
                s.getEnum("kind", RouteKind.class, Optional.empty()),
                s.getDuration("timeout", Optional.empty()),
                s.getDuration("objective", Optional.empty()),
                (int) s.getLong("rank", 0, MAX_RANK, Optional.of(0L)),
                weightedPools(s),
                (int) s.getLong("max-attempts", 1, MAX_ATTEMPTS, Optional.of(1L)),
                stages(file, s.subject()),
                s.getBoolean("open", Optional.of(false)),
                s.getBoolean("resumable", Optional.of(false)),
                s.getDuration("longest-pause", Optional.of(Duration.ZERO)));
        s.finish();
        return route;
    }

    /** Reads pools written as {@code a:90, b:10}; one without a weight has weight 1. */
    private static List<WeightedPool> weightedPools(SettingsSection s) {
        String expected = "POOL:WEIGHT of each pool, separated by commas";
        List<WeightedPool> pools = new ArrayList<>();
        for (String text : s.getList("pools", expected, Optional.empty())) {
            String[] parts = text.split(":", 2);
            if (parts.length == 2 && !parts[1].matches("\\d{1,6}")) {
                s.reject("pools", "bad weight in '" + text + "'", expected);
            } else {
                pools.add(new WeightedPool(parts[0].trim(), parts.length == 2 ? Integer.parseInt(parts[1]) : 1));
            }
        }
        return pools;
    }

    private static List<RouteStage> stages(SettingsFile file, String route) {
        List<RouteStage> stages = new ArrayList<>();
        for (int number = 0; file.has("stage " + route + '/' + number); number++) {
            SettingsSection s = file.section("stage " + route + '/' + number);
            stages.add(new RouteStage(
                    s.getString("pool", "a pool whose upstreams make pieces"),
                    predecessors(s),
                    s.getBytes("result-size", Optional.empty())));
            s.finish();
        }
        return stages;
    }

    private static List<Integer> predecessors(SettingsSection s) {
        String expected = "numbers of stages, separated by commas";
        List<Integer> after = new ArrayList<>();
        for (String text : s.getList("after", expected, Optional.of(List.of()))) {
            if (text.matches("\\d{1,3}")) {
                after.add(Integer.valueOf(text));
            } else {
                s.reject("after", "bad number '" + text + "'", expected);
            }
        }
        return after;
    }

    private static UpstreamPool pool(SettingsSection s) {
        int engineSlots = (int) s.getLong("engine-slots", 0, MAX_COUNT, Optional.of(0L));
        int maxPieces = (int) s.getLong("pieces-in-a-call", 0, MAX_COUNT, Optional.of(0L));
        UpstreamPool pool = new UpstreamPool(
                s.subject(),
                (int) s.getLong("max-connections", 1, MAX_COUNT, Optional.of(100L)),
                maxPieces > 0 ? Optional.of(batchLimits(s, maxPieces)) : Optional.empty(),
                engineSlots > 0 ? OptionalInt.of(engineSlots) : OptionalInt.empty(),
                coldLimits(s));
        s.finish();
        return pool;
    }

    /** Reads the limits of cold upstreams; without a rate, cold upstreams sustain as much as others. */
    private static Optional<ColdLimits> coldLimits(SettingsSection s) {
        double perSecond = s.getDouble("cold-per-second", 0, MAX_COUNT, Optional.of(0.0));
        Duration time = s.getDuration("cold-time", Optional.of(Duration.ZERO));
        return ColdLimits.ofRate(time, perSecond);
    }

    private static BatchLimits batchLimits(SettingsSection s, int maxPieces) {
        return new BatchLimits(
                (int) s.getLong("calls-at-once", 1, MAX_COUNT, Optional.of(1L)),
                (int) s.getLong("calls-waiting", 0, MAX_COUNT, Optional.of(0L)),
                maxPieces,
                s.getDuration("call-time", Optional.empty()).toNanos(),
                s.getDuration("piece-time", Optional.empty()).toNanos(),
                s.getBytes("result-memory", Optional.empty()),
                s.getDuration("result-kept", Optional.empty()).toNanos(),
                s.getBytes("link-per-second", Optional.of(0L)));
    }

    /** Reads the client accounts; without any, no request needs a key. */
    private static Optional<List<ClientAccount>> accounts(SettingsFile file) {
        List<ClientAccount> accounts = new ArrayList<>();
        for (SettingsSection s : file.sections("account")) {
            int rank = (int) s.getLong("rank", -1, MAX_RANK, Optional.of(-1L));
            accounts.add(new ClientAccount(
                    s.subject(),
                    s.getList("keys", "keys, separated by commas", Optional.of(List.of())),
                    rank < 0 ? OptionalInt.empty() : OptionalInt.of(rank),
                    s.getDouble(
                            "weight",
                            MIN_ACCOUNT_WEIGHT,
                            MAX_ACCOUNT_WEIGHT,
                            Optional.of(ClientAccount.DEFAULT_WEIGHT))));
            s.finish();
        }
        return accounts.isEmpty() ? Optional.empty() : Optional.of(accounts);
    }

    private static CallerLimits limits(SettingsFile file) {
        CallerLimits defaults = CallerLimits.DEFAULT;
        if (!file.has("limits")) {
            return defaults;
        }
        SettingsSection s = file.section("limits");
        CallerLimits limits = new CallerLimits(
                (int) s.getBytes("max-header", 256, 256 << 10, Optional.of((long) defaults.maxHeaderBytes())),
                (int) s.getBytes("max-body", 1, 64 << 20, Optional.of((long) defaults.maxBodyBytes())),
                s.getDuration("header-timeout", Optional.of(defaults.headerTimeout())),
                s.getDuration("idle-timeout", Optional.of(defaults.idleTimeout())));
        s.finish();
        return limits;
    }
}
