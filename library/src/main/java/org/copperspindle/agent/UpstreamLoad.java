package org.copperspindle.agent;

/**
 * The load that the upstream reported last, and when. Its age is sent with load reports; a value that is too old is not
 * reported, so that entries don't take it for a recent one.
 */
final class UpstreamLoad {

    private static final long MAX_AGE_MICROS = 10_000_000;

    private int value = -1;
    private long reportedAt;

    /** Records the load of a response, received at the given reading of the agent's clock; -1 if it carried none. */
    void onResponse(int load, long now) {
        if (load >= 0) {
            value = load;
            reportedAt = now;
        }
    }

    int value(long now) {
        return now - reportedAt > MAX_AGE_MICROS ? -1 : value;
    }

    long ageMillis(long now) {
        return value(now) < 0 ? -1 : (now - reportedAt) / 1000;
    }
}
