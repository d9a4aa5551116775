package org.copperspindle.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.route.Route;

/**
 * The requests in progress at a node. When the node stops, each of them gets a response or a refusal before the
 * process exits.
 */
final class OpenRequests {

    private static final Logger LOGGER = LogManager.getLogger(OpenRequests.class);

    private final Set<RequestRun> runs = new LinkedHashSet<>();
    private final CallerRequests callerRequests = new CallerRequests();
    private final StopAdmission stopAdmission = new StopAdmission();

    void add(RequestRun run, GatewayRequest request) {
        if (runs.add(run)) {
            callerRequests.add(request);
        }
    }

    void remove(RequestRun run, GatewayRequest request) {
        if (runs.remove(run)) {
            callerRequests.remove(request);
        }
    }

    /** Returns the requests whose callers wait here for a response. */
    CallerRequests callerRequests() {
        return callerRequests;
    }

    int count() {
        return runs.size();
    }

    /** Records how long an upstream worked on a request, in nanoseconds from its first sending to its end. */
    void recordDuration(Route route, long nanos, long now) {
        stopAdmission.observe(route.name(), nanos, now);
    }

    /** Returns whether a request that no upstream has received may be sent now, as far as a stop of this node allows. */
    boolean maySend(AdmittedRequest request, long now) {
        Route route = request.route();
        return stopAdmission.maySend(
                route.name(), route.isIdempotent(), request.times().deadlineAt(), now);
    }

    /** Begins a stop of this node. */
    void beginStop(StopSchedule schedule) {
        stopAdmission.begin(schedule);
    }

    /** Refuses the requests that no upstream has received and that may no longer be sent because this node stops. */
    void refuseLate() {
        long refused =
                List.copyOf(runs).stream().filter(RequestRun::refuseIfLate).count();
        if (refused > 0) {
            LOGGER.info("event=stop-refuses open={} unsent={}", runs.size() + refused, refused);
        }
    }

    /** Ends the requests that have become quarantined before their responses have begun. */
    void endQuarantined() {
        List.copyOf(runs).forEach(RequestRun::endIfQuarantined);
    }

    /** Aborts the remaining requests because the process is about to exit. */
    void abortAll() {
        if (!runs.isEmpty()) {
            LOGGER.warn("event=stop-ends open={}", runs.size());
        }
        List.copyOf(runs).forEach(RequestRun::abortStopping);
    }
}
