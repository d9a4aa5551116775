package org.copperspindle.soak;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongPredicate;

/**
 * Upstreams that ended under one thing that ends each of them. Some may end before it is known for what it does; after that, three
 * more requests with it at most may reach upstreams from nodes that hear each other.
 */
final class FatalLedger {

    private static final int MOST_LATER = 3;

    /** Until all nodes have heard. */
    private static final long NEWS_MILLIS = 1000;

    private final String name;
    private final int endsBeforeHold;
    private final List<Long> ends = new CopyOnWriteArrayList<>();

    /**
     * Creates an empty ledger.
     *
     * @param name           what ends upstreams, for the report
     * @param endsBeforeHold how many may end before it is known
     */
    FatalLedger(String name, int endsBeforeHold) {
        this.name = name;
        this.endsBeforeHold = endsBeforeHold;
    }

    void ended(long now) {
        ends.add(now);
    }

    int count() {
        return ends.size();
    }

    /** Returns the broken promise, if it is one. */
    Optional<String> judge(LongPredicate calm) {
        if (ends.size() <= endsBeforeHold) {
            return Optional.empty();
        }
        long known = ends.get(endsBeforeHold - 1) + NEWS_MILLIS;
        long later = ends.stream().filter(at -> at > known && calm.test(at)).count();
        return later > MOST_LATER
                ? Optional.of("budget: " + ends.size() + " upstreams ended under " + name + ", " + later
                        + " of them after " + endsBeforeHold + " had and nodes were in touch")
                : Optional.empty();
    }
}
