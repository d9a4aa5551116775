package org.copperspindle.discovery;

/**
 * Hears of upstreams that come and go.
 */
@FunctionalInterface
public interface DirectoryListener {

    /**
     * Something about an upstream changed.
     *
     * @param news what is known of it now
     */
    void onChange(UpstreamRecord news);
}
