package org.copperspindle.version;

/**
 * Takes note of nothing.
 */
final class IgnoringObserver implements VersionObserver {

    @Override
    public void onVersion(VersionMessage edition) {
        // Only the member's own life is tested.
    }

    @Override
    public void onEvacuations(EvacuationsMessage evacuations) {
        // The same.
    }
}
