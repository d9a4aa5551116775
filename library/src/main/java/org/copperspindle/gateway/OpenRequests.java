package org.copperspindle.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The requests in progress at a node, for the end of the node: whatever was read from a caller gets an answer or a
 * refusal before the process ends.
 */
final class OpenRequests {

    private static final Logger LOGGER = LogManager.getLogger(OpenRequests.class);

    private final Set<RequestRun> runs = new LinkedHashSet<>();

    void add(RequestRun run) {
        runs.add(run);
    }

    void remove(RequestRun run) {
        runs.remove(run);
    }

    int count() {
        return runs.size();
    }

    /** Refuses those that no upstream has got yet: another node can begin them with more time. */
    void refuseUnsent() {
        List<RequestRun> unsent = runs.stream().filter(RequestRun::isUnsent).toList();
        LOGGER.info("event=stop-refuses open={} unsent={}", runs.size(), unsent.size());
        unsent.forEach(RequestRun::refuseStopping);
    }

    /** Ends the rest: the process is about to end. */
    void abortAll() {
        if (!runs.isEmpty()) {
            LOGGER.warn("event=stop-ends open={}", runs.size());
        }
        List.copyOf(runs).forEach(RequestRun::endStopping);
    }
}
