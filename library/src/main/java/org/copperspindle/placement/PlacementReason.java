package org.copperspindle.placement;

/**
 * Why an engine was chosen.
 */
public enum PlacementReason {
    /** It has the highest rendezvous score for the shared part of the prompt. */
    HOME("home"),
    /** It has cached the shared part, although another engine has a higher score. */
    CACHED("cached"),
    /** No engine that has cached the shared part can take the prompt without harm. */
    OTHER("other"),
    /** The prompt interrupts the streams of any engine, and it interrupts the fewest here. */
    LEAST_DISTURBING("least-disturbing"),
    /** It is expected to send the first event soonest. */
    EARLIEST("earliest"),
    /** It is expected to continue an interrupted stream in time. */
    RESUMED("resumed");

    private final String label;

    PlacementReason(String label) {
        this.label = label;
    }

    /**
     * Returns the name in log lines and metrics.
     *
     * @return a name in lower case
     */
    public String label() {
        return label;
    }
}
