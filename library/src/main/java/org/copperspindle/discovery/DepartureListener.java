package org.copperspindle.discovery;

/**
 * Receives evidence that upstreams have left.
 */
@FunctionalInterface
public interface DepartureListener {

    /** Reason of a departure that the present upstream at the address has shown. */
    String ADDRESS_TAKEN = "address-answers-for-another";

    /**
     * Records that an upstream has left.
     *
     * @param id          its id
     * @param incarnation incarnation that has ended; {@link UpstreamRecord#UNKNOWN_INCARNATION} for the one known
     *                    here
     * @param reason      evidence for the departure, for the log
     */
    void onLeft(String id, long incarnation, String reason);
}
