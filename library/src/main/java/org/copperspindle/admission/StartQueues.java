package org.copperspindle.admission;

import java.util.random.RandomGenerator;

/**
 * Creates queues of requests that wait for the start of their stages.
 */
public final class StartQueues {

    private StartQueues() {}

    /**
     * Creates a queue by priority, fair share of the accounts and latest start.
     *
     * @param random spreads the retries of refused callers
     * @return an empty queue
     */
    public static StartQueue create(RandomGenerator random) {
        return new PriorityStartQueue(random);
    }
}
