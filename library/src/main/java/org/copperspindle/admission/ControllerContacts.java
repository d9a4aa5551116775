package org.copperspindle.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which controllers respond to this node.
 */
final class ControllerContacts {

    /**
     * Time without start requests for a route after one that stayed unanswered although the controller sends loads: it
     * does not receive them, or does not know the route. Each attempt costs a caller the longest wait.
     */
    private static final long SUSPENSION_NANOS = Duration.ofSeconds(1).toNanos();

    private final Map<String, Long> heardAt = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private final Map<Target, Long> suspendedUntil = new HashMap<>();

    /** Records a load message of a controller. */
    void onLoad(String node, long now) {
        heardAt.put(node, now);
        silent.remove(node);
    }

    /** Records a response to a start request for a route. */
    void onResponse(String node, String route, long now) {
        onLoad(node, now);
        suspendedUntil.remove(new Target(node, route));
    }

    /**
     * Records that a start request got no response in time.
     *
     * @param node  the controller
     * @param route route of the request
     * @param since when the request was sent, monotonic time in nanoseconds
     * @param now   monotonic time in nanoseconds
     */
    void onUnanswered(String node, String route, long since, long now) {
        if (lastHeardAt(node, since) - since > 0) {
            suspendedUntil.put(new Target(node, route), now + SUSPENSION_NANOS);
        } else {
            silent.add(node);
        }
    }

    /** Returns when the last message of a controller arrived, but at least the given time. */
    long lastHeardAt(String node, long since) {
        long at = heardAt.getOrDefault(node, since);
        return at - since > 0 ? at : since;
    }

    /** Returns whether start requests for a route can be sent to a controller. */
    boolean mayAsk(String node, String route, long now) {
        Long until = suspendedUntil.get(new Target(node, route));
        return !silent.contains(node) && (until == null || now - until >= 0);
    }

    void forget(String node) {
        heardAt.remove(node);
        silent.remove(node);
        suspendedUntil.keySet().removeIf(target -> target.node().equals(node));
    }

    private record Target(String node, String route) {}
}
