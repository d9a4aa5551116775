package org.copperspindle.discovery;

/**
 * Listener for changes of the upstream directory.
 */
@FunctionalInterface
public interface DirectoryListener {

    /**
     * Called when the known state of an upstream has changed.
     *
     * @param state current state of the upstream
     */
    void onChange(UpstreamRecord state);
}
