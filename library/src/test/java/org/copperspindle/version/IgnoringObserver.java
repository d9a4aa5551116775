package org.copperspindle.version;

/**
 * Ignores all events.
 */
final class IgnoringObserver implements VersionObserver {

    @Override
    public void onVersion(VersionMessage newVersion) {
        // Only the life cycle of the member is tested.
    }

    @Override
    public void onEvacuations(EvacuationsMessage evacuations) {
        // See above.
    }
}
