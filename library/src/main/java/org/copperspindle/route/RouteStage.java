package org.copperspindle.route;

import java.util.List;

/**
 * A stage: work in pieces that is done before a request can run.
 *
 * @param pool        pool of the upstreams that run the pieces
 * @param after       numbers of the stages whose results it needs, empty if it needs only the request itself
 * @param resultBytes approximate size of the result of one piece
 */
public record RouteStage(String pool, List<Integer> after, long resultBytes) {

    /** Copies the list. */
    public RouteStage {
        after = List.copyOf(after);
    }
}
