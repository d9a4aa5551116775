package org.copperspindle.measure;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keeps the values of a label few: the first ones stand for themselves, all others for {@value #OTHER}. Without this,
 * thousands of client accounts would make as many time series of each entry.
 */
final class BoundedLabels {

    static final String OTHER = "other";

    private final int max;
    private final Set<String> known = ConcurrentHashMap.newKeySet();

    BoundedLabels(int max) {
        this.max = max;
    }

    String of(String value) {
        if (known.contains(value)) {
            return value;
        }
        if (known.size() >= max) {
            return OTHER;
        }
        known.add(value);
        return value;
    }
}
