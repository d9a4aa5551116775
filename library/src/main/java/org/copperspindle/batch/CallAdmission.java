package org.copperspindle.batch;

/**
 * Limits calls to upstreams of stage pools that announced a request rate or requested a backoff.
 */
public interface CallAdmission {

    /** Admits all calls. */
    CallAdmission ALL = new CallAdmission() {
        @Override
        public boolean mayCall(String upstream) {
            return true;
        }

        @Override
        public void recordCall(String upstream) {
            // Calls are not counted.
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
     * Returns whether an upstream may be called now.
     *
     * @param upstream its id
     * @return false if the call would exceed its limit
     */
    boolean mayCall(String upstream);

    /**
     * Records a call to an upstream. To be called right after {@link #mayCall} returned true.
     *
     * @param upstream its id
     */
    void recordCall(String upstream);

    /**
     * Returns whether an upstream is in a backoff that it requested.
     *
     * @param upstream its id
     * @return true during the backoff, when it may not be called
     */
    boolean isBackingOff(String upstream);

    /**
     * Returns the minimum interval between calls to an upstream.
     *
     * @param upstream its id
     * @return nanoseconds; 0 if it announced no limit
     */
    long spacingNanos(String upstream);
}
