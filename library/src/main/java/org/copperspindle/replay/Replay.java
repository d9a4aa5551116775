package org.copperspindle.replay;

import java.util.ArrayList;
import java.util.List;

import org.copperspindle.config.Deployment;
import org.copperspindle.limits.PolicyKind;
import org.copperspindle.time.VirtualTimerService;

/**
 * Replays a trace under one policy in virtual time. Deterministic: the same trace, deployment and policy give the
 * same result.
 */
public final class Replay {

    private final Trace trace;
    private final Deployment deployment;
    private final VirtualTimerService timers = new VirtualTimerService();
    private final List<ReplayEntry> entries = new ArrayList<>();

    private Replay(Trace trace, Deployment deployment) {
        this.trace = trace;
        this.deployment = deployment;
    }

    /**
     * Replays a trace.
     *
     * @param trace      the trace
     * @param deployment deployment to replay it with
     * @param kind       policy of the entries
     * @return the result
     */
    public static ReplayResult run(Trace trace, Deployment deployment, PolicyKind kind) {
        return new Replay(trace, deployment).run(kind);
    }

    private ReplayResult run(PolicyKind kind) {
        ReplayTally tally = new ReplayTally();
        ReplayFleet fleet = new ReplayFleet(deployment, timers, tally);
        for (int i = 0; i < trace.entries(); i++) {
            ReplayEntry entry = new ReplayEntry(i, deployment, timers, fleet, kind, tally);
            fleet.addEntry(entry);
            entries.add(entry);
        }
        List<TraceRequest> requests = trace.requests();
        long endNanos =
                requests.isEmpty() ? 0 : requests.get(requests.size() - 1).atNanos();
        fleet.schedule(trace.faults(), endNanos);
        scheduleArrival(0);
        while (timers.step()) {
            // Each step runs one due task; the replay ends when no task is pending.
        }
        return new ReplayResult(trace, kind, tally);
    }

    private void scheduleArrival(int index) {
        if (index == trace.requests().size()) {
            return;
        }
        TraceRequest request = trace.requests().get(index);
        timers.schedule(request.atNanos() - timers.nanoTime(), () -> {
            entries.get(index % entries.size()).arrive(request);
            scheduleArrival(index + 1);
        });
    }
}
