package org.copperspindle.edition;

/**
 * Takes note of nothing.
 */
final class IgnoringObserver implements EditionObserver {

    @Override
    public void onVersion(EditionMessage edition) {
        // Only the member's own life is tested.
    }

    @Override
    public void onEvacuations(EvacuationsMessage evacuations) {
        // The same.
    }
}
