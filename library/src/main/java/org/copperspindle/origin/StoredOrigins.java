package org.copperspindle.origin;

import java.util.List;

/**
 * Records that an earlier process stored.
 *
 * @param records       the records, oldest first
 * @param lifetimeNanos how long records were valid when they were stored, in nanoseconds
 */
public record StoredOrigins(List<OriginRecord> records, long lifetimeNanos) {

    /** Copies the list. */
    public StoredOrigins {
        records = List.copyOf(records);
    }
}
