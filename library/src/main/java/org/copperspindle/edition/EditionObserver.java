package org.copperspindle.edition;

/**
 * Hears of what the control group has committed.
 */
public interface EditionObserver {

    /**
     * A version comes into force.
     *
     * @param edition the version
     */
    void onVersion(EditionMessage edition);

    /**
     * A failure domain is evacuated or used again.
     *
     * @param evacuations all that are evacuated now
     */
    void onEvacuations(EvacuationsMessage evacuations);
}
