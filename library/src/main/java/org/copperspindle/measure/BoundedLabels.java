package org.copperspindle.measure;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds the number of values of a metric label: the first values are kept, all others are replaced by {@value #OTHER}.
 * Otherwise thousands of client accounts would create as many time series at each entry.
 */
final class BoundedLabels {

    static final String OTHER = "other";

    private final int maxValues;
    private final Set<String> known = ConcurrentHashMap.newKeySet();

    BoundedLabels(int maxValues) {
        this.maxValues = maxValues;
    }

    String of(String value) {
        if (known.contains(value)) {
            return value;
        }
        if (known.size() >= maxValues) {
            return OTHER;
        }
        known.add(value);
        return value;
    }
}
