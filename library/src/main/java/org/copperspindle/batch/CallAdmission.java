package org.copperspindle.batch;

import java.util.OptionalDouble;

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
        public void calls(String upstream) {
            // Nothing is counted.
        }

        @Override
        public boolean isAtRest(String upstream) {
            return false;
        }

        @Override
        public OptionalDouble perSecond(String upstream) {
            return OptionalDouble.empty();
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
    void calls(String upstream);

    /**
     * Says whether an upstream wants nothing for a while.
     *
     * @param upstream its id
     * @return true while it rests; it may not be called then
     */
    boolean isAtRest(String upstream);

    /**
     * Returns how many calls an upstream gets at most.
     *
     * @param upstream its id
     * @return calls a second; empty if it has named no limit
     */
    OptionalDouble perSecond(String upstream);
}
