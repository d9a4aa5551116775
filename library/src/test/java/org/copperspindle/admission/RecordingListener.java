package org.copperspindle.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the decisions on one request, so that a test sees if there is more than one.
 */
final class RecordingListener implements StageStarts.Listener {

    final List<String> decisions = new ArrayList<>();

    @Override
    public void start() {
        decisions.add("start");
    }

    @Override
    public void refuse(long retryAfterNanos) {
        decisions.add("refuse " + retryAfterNanos / 1_000_000);
    }

    @Override
    public void decideLocally() {
        decisions.add("local");
    }
}
