package org.copperspindle.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.route.Route;

/**
 * A policy whose decisions the test sets: requests wait until they may start or are to be refused.
 */
final class FakeStartPolicy implements StartQueue, StartForecast {

    static final Duration RETRY_AFTER = Duration.ofSeconds(3);

    final List<StartRequest> waiting = new ArrayList<>();
    boolean starts;
    boolean refuses;
    boolean isShort;

    // Creates the policy for one group, which has the given name and all pools.
    StartPolicy of(String group) {
        StartPolicy.Groups groups = new StartPolicy.Groups() {
            @Override
            public Optional<String> groupOf(String pool) {
                return Optional.of(group);
            }

            @Override
            public boolean isCoordinated(Route route) {
                return true;
            }
        };
        return new StartPolicy(
                () -> this, () -> this, table -> groups, () -> (queueing, fullCall, now) -> isShort, a -> 1);
    }

    @Override
    public void add(StartRequest request, long now) {
        waiting.add(request);
    }

    @Override
    public void cancel(String node, long id) {
        waiting.removeIf(r -> r.node().equals(node) && r.id() == id);
    }

    @Override
    public void forget(String node) {
        waiting.removeIf(r -> r.node().equals(node));
    }

    @Override
    public List<StartDecision> decide(StartForecast forecast, long now) {
        if (!starts && !refuses) {
            return List.of();
        }
        List<StartDecision> decisions = new ArrayList<>();
        waiting.forEach(
                r -> decisions.add(starts ? new StartDecision.Start(r) : new StartDecision.Refuse(r, RETRY_AFTER)));
        waiting.clear();
        return decisions;
    }

    @Override
    public int size() {
        return waiting.size();
    }

    @Override
    public long shortestNanos(StagedRequest request) {
        return 0;
    }

    @Override
    public long queueingNanos(StagedRequest request) {
        return 0;
    }

    @Override
    public long fullCallNanos(StagedRequest request) {
        return 0;
    }

    @Override
    public long costNanos(StagedRequest request) {
        return 0;
    }

    @Override
    public void recordStart(StagedRequest request) {
        // The decisions of the test don't depend on starts.
    }
}
