package org.copperspindle.direct;

import java.util.Locale;

/**
 * What an upstream may send in a response, or outside of one, before its connection is closed.
 */
public enum ResponseBound {
    /** Bytes of one status line, or of the line before a chunk. */
    LINE,
    /** Bytes of one block of header or trailer fields. */
    FIELDS,
    /** Bytes of everything before the final status line and of the head, interim responses among it. */
    HEAD,
    /** Memory of the head and the trailers, beside all that is held for callers. */
    HELD_FIELDS,
    /** Memory of a body that a reader of the node's own calls keeps, beside all that is held for callers. */
    HELD_BODY,
    /** Bytes of the framing of a body in chunks, in relation to its data. */
    FRAMING,
    /** Bytes of a body that is held until it is complete. */
    BODY,
    /** Bytes of an event that is held until it is complete. */
    EVENT,
    /** No bytes may be sent outside of a response. */
    STRAY_BYTES;

    /**
     * Returns the name in logs and metrics.
     *
     * @return a name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
