package org.copperspindle.version;

/**
 * Observer of the state that the control group has committed.
 */
public interface VersionObserver {

    /**
     * Called when a version comes into force.
     *
     * @param version the version
     */
    void onVersion(VersionMessage version);

    /**
     * Called when a failure domain is evacuated or reopened.
     *
     * @param evacuations all failure domains that are evacuated now
     */
    void onEvacuations(EvacuationsMessage evacuations);

    /**
     * Called when a software version begins or ceases to be in use.
     *
     * @param software all versions that are in use now
     */
    default void onSoftware(SoftwareInUseMessage software) {}
}
