package org.copperspindle.demo;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.copperspindle.config.Priority;
import org.copperspindle.emulator.FakeUsage;

/**
 * Prints the result tables of the demonstration.
 */
final class DemoReport {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int MAX_REASON_LENGTH = 60;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;

    private final PrintStream out;

    DemoReport(PrintStream out) {
        this.out = out;
    }

    void printAttainment(List<DemoAnswer> answers) {
        out.println();
        out.println("Attainment: whole answers within the deadline");
        TextTable table = new TextTable(2, "call", "priority", "calls", "attained", "share", "p50 ms", "p99 ms");
        Map<String, List<DemoAnswer>> byCall = answers.stream()
                .collect(Collectors.groupingBy(
                        a -> a.call().priority().ordinal() + a.call().pipeline().name(),
                        TreeMap::new,
                        Collectors.toList()));
        byCall.values()
                .forEach(group -> addAttainmentRow(
                        table,
                        group.get(0).call().pipeline().name(),
                        priority(group.get(0).call().priority()),
                        group));
        answers.stream()
                .collect(Collectors.groupingBy(a -> a.call().priority(), TreeMap::new, Collectors.toList()))
                .forEach((priority, group) ->
                        addAttainmentRow(table, "all of this priority", priority(priority), group));
        addAttainmentRow(table, "all", "", answers);
        table.print(out);
    }

    void printCost(List<DemoUpstream> upstreams) {
        out.println();
        out.println(
                "Cost by stage: time that calls held a slot, by pool, times the pool's cost per second in the settings");
        Map<String, List<DemoUpstream>> byPool = upstreams.stream()
                .collect(Collectors.groupingBy(u -> u.pool().name(), TreeMap::new, Collectors.toList()));
        double total = upstreams.stream().mapToDouble(DemoReport::cost).sum();
        TextTable table = new TextTable(2, "pool", "kind", "upstreams", "calls", "busy s", "cost", "share");
        byPool.values().stream()
                .sorted(Comparator.comparing(group -> group.get(0).pool().kind()))
                .forEach(group -> {
                    double cost = group.stream().mapToDouble(DemoReport::cost).sum();
                    table.row(
                            group.get(0).pool().name(),
                            group.get(0).pool().kind().name().toLowerCase(Locale.ROOT),
                            String.valueOf(group.size()),
                            String.valueOf(group.stream()
                                    .mapToLong(u -> u.fake().usage().calls())
                                    .sum()),
                            decimal(group.stream()
                                    .mapToDouble(u -> seconds(u.fake().usage()))
                                    .sum()),
                            String.format(Locale.ROOT, "%.4f", cost),
                            percent(cost, total));
                });
        table.print(out);
    }

    void printVerdicts(List<DemoAnswer> answers) {
        out.println();
        out.println("Verdicts: what the answers say about whether the work ran (resent calls included)");
        TextTable table = new TextTable(2, "verdict", "reason", "answers");
        Function<DemoAnswer, String> kind =
                a -> (a.verdict().isEmpty() ? "none" : a.verdict()) + "\t" + shorten(a.reason());
        answers.stream()
                .collect(Collectors.groupingBy(kind, TreeMap::new, Collectors.counting()))
                .forEach((key, count) -> table.row(key.split("\t")[0], key.split("\t")[1], String.valueOf(count)));
        table.print(out);
    }

    boolean printPromises(List<PromiseCheck.Result> results) {
        out.println();
        out.println("Promises, checked against a ledger that only the fake upstreams write");
        TextTable table = new TextTable(1, "promise", "checked", "broken");
        results.forEach(r -> table.row(r.promise(), String.valueOf(r.checked()), String.valueOf(r.broken())));
        table.print(out);
        results.stream()
                .filter(r -> r.broken() > 0)
                .forEach(r -> out.println("  first case of '" + r.promise() + "': " + r.example()));
        return results.stream().allMatch(r -> r.broken() == 0);
    }

    private static void addAttainmentRow(TextTable table, String call, String priority, List<DemoAnswer> answers) {
        Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
        answers.stream()
                .filter(a -> a.outcome() == DemoAnswer.Outcome.WHOLE)
                .forEach(a -> latencies.recordValue(a.latency().toNanos() / 1000));
        long attained = answers.stream().filter(DemoAnswer::attained).count();
        table.row(
                call,
                priority,
                String.valueOf(answers.size()),
                String.valueOf(attained),
                percent(attained, answers.size()),
                millis(latencies, MEDIAN_PERCENTILE),
                millis(latencies, TAIL_PERCENTILE));
    }

    private static String shorten(String reason) {
        String line = reason.lines().findFirst().orElse("-");
        return line.length() <= MAX_REASON_LENGTH ? line : line.substring(0, MAX_REASON_LENGTH - 3) + "...";
    }

    private static String millis(Histogram latencies, double percentile) {
        return latencies.getTotalCount() == 0
                ? "-"
                : decimal(latencies.getValueAtPercentile(percentile) / MICROS_PER_MILLI);
    }

    private static double cost(DemoUpstream upstream) {
        return seconds(upstream.fake().usage()) * upstream.pool().costPerSecond();
    }

    private static double seconds(FakeUsage usage) {
        return usage.busy().toNanos() / NANOS_PER_SECOND;
    }

    private static String priority(Priority priority) {
        return priority.name().toLowerCase(Locale.ROOT);
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static String percent(double part, double whole) {
        return whole == 0 ? "-" : String.format(Locale.ROOT, "%.1f %%", 100 * part / whole);
    }
}
