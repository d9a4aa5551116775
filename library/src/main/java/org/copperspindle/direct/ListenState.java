package org.copperspindle.direct;

/**
 * Result of an attempt to connect to an address.
 */
public enum ListenState {
    /** The VM refuses the connection: no process listens there. */
    REFUSES,
    /** A process listens there. */
    LISTENS,
    /** There was no reply: the VM is down or cannot be reached. */
    SILENT
}
