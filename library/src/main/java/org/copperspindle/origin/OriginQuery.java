package org.copperspindle.origin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.copperspindle.time.TimerSubscription;

/**
 * One query: collects what the asked nodes know, until all have answered or the time is over.
 */
final class OriginQuery {

    private final Set<String> awaited;
    private final List<OriginView> views = new ArrayList<>();
    private final Consumer<List<OriginView>> listener;
    private TimerSubscription timeout = () -> {};

    /**
     * Creates a query.
     *
     * @param own      what this node knows
     * @param awaited  names of the asked nodes
     * @param listener receives what the nodes know
     */
    OriginQuery(OriginView own, Set<String> awaited, Consumer<List<OriginView>> listener) {
        this.views.add(own);
        this.awaited = new HashSet<>(awaited);
        this.listener = listener;
    }

    void limitTime(TimerSubscription timer) {
        timeout = timer;
    }

    /** Takes the answer of a node. */
    void answered(String node, OriginView view) {
        if (awaited.remove(node)) {
            views.add(view);
        }
    }

    /** Gives up on a node that has been lost. */
    void lost(String node) {
        awaited.remove(node);
    }

    boolean isComplete() {
        return awaited.isEmpty();
    }

    /** Reports what is known now. */
    void finish() {
        timeout.cancel();
        listener.accept(List.copyOf(views));
    }
}
