package org.copperspindle.batch;

/**
 * Bounds the calls to upstreams of stage pools that have named how many requests a second they take, or want none for a while.
 */
public interface CallAdmission {

    /** Lets all calls pass. */
    CallAdmission ALL = new CallAdmission() {
        @Override
        public boolean mayCall(String upstream) {
            return true;
        }

        @Override
        public void recordCall(String upstream) {
            // Nothing is counted.
        }

        @Override
        public boolean isBackingOff(String upstream) {
            return false;
        }

        @Override
        public long spacingNanos(String upstream) {
            return 0;
        }
    };

    /**
     * Says whether an upstream may be called now.
     *
     * @param upstream its id
     * @return false if it would get more than it takes
     */
    boolean mayCall(String upstream);

    /**
     * Notes that an upstream is called; right after it was found that it may be.
     *
     * @param upstream its id
     */
    void recordCall(String upstream);

    /**
     * Says whether an upstream wants nothing for a while.
     *
     * @param upstream its id
     * @return true while it rests; it may not be called then
     */
    boolean isBackingOff(String upstream);

    /**
     * Returns how far apart the calls of an upstream are at least.
     *
     * @param upstream its id
     * @return nanoseconds; 0 if it has named no limit
     */
    long spacingNanos(String upstream);
}
