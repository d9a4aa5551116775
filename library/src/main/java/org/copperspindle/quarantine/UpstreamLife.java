package org.copperspindle.quarantine;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * One life of an upstream's process. It may start again under the same id, and each of its lives can end.
 *
 * @param id          its id
 * @param incarnation when the life began; {@link UpstreamRecord#UNKNOWN_INCARNATION} if it does not say so
 */
record UpstreamLife(String id, long incarnation) {

    private static final char SEPARATOR = '@';

    static UpstreamLife of(UpstreamRecord news) {
        return new UpstreamLife(news.id(), news.incarnation());
    }

    /** Returns the life as nodes tell it to each other and operators see it. */
    String text() {
        return incarnation == UpstreamRecord.UNKNOWN_INCARNATION ? id : id + SEPARATOR + incarnation;
    }
}
