package org.copperspindle.engineload;

import java.util.HashMap;
import java.util.Map;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.routing.RendezvousScore;

/**
 * Rendezvous scores of engines for one shared prompt part. Each is computed once: a choice needs them to find the home
 * engine and to order the engines that may take the request.
 */
final class RendezvousScores {

    private final String shared;
    private final Map<String, Long> scores = new HashMap<>();

    RendezvousScores(String shared) {
        this.shared = shared;
    }

    long of(UpstreamRecord engine) {
        return scores.computeIfAbsent(engine.id(), id -> RendezvousScore.of(shared, id));
    }
}
