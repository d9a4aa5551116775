package org.copperspindle.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.copperspindle.config.Deployment;
import org.copperspindle.limits.PolicyKind;

/**
 * A report that compares a policy with the baseline, in lines of {@code key=value} pairs. The same replay gives the
 * same text.
 */
public final class ReplayReport {

    private final Trace trace;
    private final ReplayResult result;
    private final ReplayResult baseline;
    private final List<String> unmet = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();

    private ReplayReport(Trace trace, ReplayResult result, ReplayResult baseline) {
        this.trace = trace;
        this.result = result;
        this.baseline = baseline;
    }

    /**
     * Replays a trace under a policy and under the baseline, and checks the expected outcomes.
     *
     * @param trace      the trace
     * @param deployment deployment to replay it with
     * @param kind       policy to evaluate
     * @return the report
     */
    public static ReplayReport of(Trace trace, Deployment deployment, PolicyKind kind) {
        ReplayResult baseline = Replay.run(trace, deployment, PolicyKind.BASELINE);
        ReplayResult result = kind == PolicyKind.BASELINE ? baseline : Replay.run(trace, deployment, kind);
        ReplayReport report = new ReplayReport(trace, result, baseline);
        report.write();
        return report;
    }

    /**
     * Returns the expected outcomes that were not met.
     *
     * @return their labels and measured values
     */
    public List<String> unmet() {
        return List.copyOf(unmet);
    }

    /**
     * Returns the text of the report.
     *
     * @return the report's lines
     */
    public String text() {
        return text.toString();
    }

    private void write() {
        line(
                "trace=%s seed=%d requests=%d policy=%s",
                trace.name(), trace.seed(), result.arrivals(), policyName(result));
        attainment(
                "pipeline", result.attainmentBy(TraceRequest::pipeline), baseline.attainmentBy(TraceRequest::pipeline));
        attainment("priority", attainmentByPriority(result), attainmentByPriority(baseline));
        attainment("account", result.attainmentBy(TraceRequest::account), baseline.attainmentBy(TraceRequest::account));
        line("attainment all value=%.4f baseline=%.4f", result.attainment(r -> true), baseline.attainment(r -> true));
        new TreeMap<>(result.costByPool())
                .forEach((pool, cost) -> line(
                        "cost stage=%s value=%.4f baseline=%.4f",
                        pool, cost, baseline.costByPool().getOrDefault(pool, 0.0)));
        line("cost per-attained value=%.6f baseline=%.6f", result.costPerAttained(), baseline.costPerAttained());
        line("wasted value=%.4f baseline=%.4f", result.wasted(), baseline.wasted());
        line("extra-attempts value=%.4f baseline=%.4f", result.extraAttempts(), baseline.extraAttempts());
        result.misses().forEach((reason, count) -> line("missed reason=%s count=%d", reason, count));
        trace.outcomes().forEach(this::check);
    }

    private void attainment(String property, Map<String, Double> values, Map<String, Double> baselines) {
        values.forEach((key, value) ->
                line("attainment %s=%s value=%.4f baseline=%.4f", property, key, value, baselines.get(key)));
    }

    private void check(TraceOutcome outcome) {
        double value = result.measure(outcome, baseline);
        boolean met = outcome.met(value);
        String summary = String.format(Locale.ROOT, "%s measured %.4f", outcome.label(), value);
        line("outcome %s: %s", met ? "met" : "NOT MET", summary);
        if (!met) {
            unmet.add(summary);
        }
    }

    private static Map<String, Double> attainmentByPriority(ReplayResult result) {
        return result.attainmentBy(request -> request.priority().name().toLowerCase(Locale.ROOT));
    }

    private static String policyName(ReplayResult result) {
        return result.kind().name().toLowerCase(Locale.ROOT);
    }

    private void line(String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }
}
