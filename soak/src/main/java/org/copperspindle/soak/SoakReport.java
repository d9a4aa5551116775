package org.copperspindle.soak;

import java.util.List;

/**
 * How a soak ended.
 *
 * @param seed      its seed
 * @param asked     requests that callers sent
 * @param served    requests that were answered with success and whole
 * @param fatalEnds upstreams that ended under the request that ends each one that runs it
 * @param partEnds  upstreams that ended under the part of prompts that does the same
 * @param recovered part of the requests that were served after the last disturbance
 * @param broken    broken promises; empty if all were kept
 */
public record SoakReport(
        long seed, int asked, int served, int fatalEnds, int partEnds, double recovered, List<String> broken) {

    /** Copies the list. */
    public SoakReport {
        broken = List.copyOf(broken);
    }

    /**
     * Returns the report in one line, without the broken promises.
     *
     * @return pairs of keys and values
     */
    public String summary() {
        return String.format(
                "soak seed=%d asked=%d served=%d fatal_ends=%d part_ends=%d recovered=%.2f broken=%d",
                seed, asked, served, fatalEnds, partEnds, recovered, broken.size());
    }
}
