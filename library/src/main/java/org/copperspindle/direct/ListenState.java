package org.copperspindle.direct;

/**
 * What an attempt to connect to an address shows.
 */
public enum ListenState {
    /** The VM says that no process listens there. */
    REFUSES,
    /** A process listens there. */
    LISTENS,
    /** Nothing came back: the VM is down, or the link to it is cut. */
    SILENT
}
