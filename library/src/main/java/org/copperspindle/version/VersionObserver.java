package org.copperspindle.version;

/**
 * Hears of what the control group has committed.
 */
public interface VersionObserver {

    /**
     * A version comes into force.
     *
     * @param edition the version
     */
    void onVersion(VersionMessage edition);

    /**
     * A failure domain is evacuated or used again.
     *
     * @param evacuations all that are evacuated now
     */
    void onEvacuations(EvacuationsMessage evacuations);
}
