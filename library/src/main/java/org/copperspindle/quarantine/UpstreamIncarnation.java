package org.copperspindle.quarantine;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * One incarnation of an upstream process. An upstream may restart under the same id, and each incarnation can
 * terminate.
 *
 * @param id     id of the upstream
 * @param number start time of the incarnation; {@link UpstreamRecord#UNKNOWN_INCARNATION} if it is not announced
 */
record UpstreamIncarnation(String id, long number) {

    private static final char SEPARATOR = '@';

    static UpstreamIncarnation of(UpstreamRecord upstream) {
        return new UpstreamIncarnation(upstream.id(), upstream.incarnation());
    }

    /** Returns the text form that nodes exchange and operators see. */
    String text() {
        return number == UpstreamRecord.UNKNOWN_INCARNATION ? id : id + SEPARATOR + number;
    }
}
