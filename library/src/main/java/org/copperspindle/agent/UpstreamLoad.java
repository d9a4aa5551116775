package org.copperspindle.agent;

/**
 * The load that the upstream reported last, and when. Its age travels with it, so that entries don't take an old report
 * for a new one.
 */
final class UpstreamLoad {

    private int value = -1;
    private long reportedAt;

    /** A response arrived at the given reading of the agent's clock; -1 if it carried no load. */
    void onResponse(int load, long now) {
        if (load >= 0) {
            value = load;
            reportedAt = now;
        }
    }

    int value() {
        return value;
    }

    long ageMillis(long now) {
        return value < 0 ? -1 : (now - reportedAt) / 1000;
    }
}
