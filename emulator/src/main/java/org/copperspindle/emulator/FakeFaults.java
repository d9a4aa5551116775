package org.copperspindle.emulator;

/**
 * Faults of one fake upstream; replaced as a whole while it runs, in force for every call that starts afterwards.
 *
 * @param delayMillis added to the time of each call, milliseconds
 * @param errorStatus HTTP status given in place of the answer after the work was done; 0 for none
 * @param stall       whether calls run and are never answered
 * @param draining    whether calls are refused with 503 and not run
 * @param response    how answers are spoilt
 */
public record FakeFaults(long delayMillis, int errorStatus, boolean stall, boolean draining, ResponseFault response) {

    /** A healthy fake. */
    public static final FakeFaults NONE = new FakeFaults(0, 0, false, false, ResponseFault.NONE);

    /**
     * Completes faults that were read from partial JSON.
     *
     * @param delayMillis added time
     * @param errorStatus status in place of the answer
     * @param stall       whether answers are withheld
     * @param draining    whether calls are refused
     * @param response    how answers are spoilt; null for not at all
     */
    public FakeFaults {
        response = response == null ? ResponseFault.NONE : response;
    }

    /**
     * Makes a fake slow.
     *
     * @param millis added to each call
     * @return the faults
     */
    public static FakeFaults delayed(long millis) {
        return new FakeFaults(millis, 0, false, false, ResponseFault.NONE);
    }

    /**
     * Makes a fake answer with an error.
     *
     * @param status HTTP status
     * @return the faults
     */
    public static FakeFaults failing(int status) {
        return new FakeFaults(0, status, false, false, ResponseFault.NONE);
    }

    /**
     * Makes a fake do its work and never answer.
     *
     * @return the faults
     */
    public static FakeFaults stalled() {
        return new FakeFaults(0, 0, true, false, ResponseFault.NONE);
    }

    /**
     * Makes a fake refuse new calls.
     *
     * @return the faults
     */
    public static FakeFaults refusing() {
        return new FakeFaults(0, 0, false, true, ResponseFault.NONE);
    }

    /**
     * Makes a fake spoil its answers.
     *
     * @param response how
     * @return the faults
     */
    public static FakeFaults spoiling(ResponseFault response) {
        return new FakeFaults(0, 0, false, false, response);
    }
}
