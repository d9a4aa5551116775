package org.copperspindle.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.copperspindle.wire.Peer;

/**
 * Reports the load and the clock of the agent to subscribed entries: at each interval while the load changes, at every
 * fifth one while it does not. Outcomes carry the load too, so only entries that have sent nothing depend on these
 * reports.
 */
final class LoadReporter {

    private static final int MAX_UNCHANGED_INTERVALS = 5;

    private final Map<Peer, Sent> subscribers = new LinkedHashMap<>();
    private long sequence;

    /** Adds a subscriber and sends it the first report at once. */
    void subscribe(Peer peer, LoadReportMessage report) {
        if (peer.send(numbered(report))) {
            subscribers.put(peer, new Sent(report, 0));
        }
    }

    /** Sends reports at the end of an interval. Closed connections are removed. */
    void report(LoadReportMessage report) {
        Iterator<Map.Entry<Peer, Sent>> all = subscribers.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Peer, Sent> entry = all.next();
            Sent sent = entry.getValue();
            if (sent.sameLoad(report) && sent.unchangedIntervals() + 1 < MAX_UNCHANGED_INTERVALS) {
                entry.setValue(new Sent(report, sent.unchangedIntervals() + 1));
            } else if (entry.getKey().send(numbered(report))) {
                entry.setValue(new Sent(report, 0));
            } else {
                all.remove();
            }
        }
    }

    /** Sends a report to all subscribers at once, after a change that they need to know. */
    void publish(LoadReportMessage report) {
        subscribers.entrySet().removeIf(entry -> !entry.getKey().send(numbered(report)));
        subscribers.replaceAll((peer, sent) -> new Sent(report, 0));
    }

    int subscribers() {
        return subscribers.size();
    }

    private LoadReportMessage numbered(LoadReportMessage report) {
        return report.numbered(++sequence);
    }

    private record Sent(LoadReportMessage report, int unchangedIntervals) {

        private boolean sameLoad(LoadReportMessage other) {
            return report.inFlight() == other.inFlight()
                    && report.queued() == other.queued()
                    && report.reportedLoad() == other.reportedLoad()
                    && report.refusing() == other.refusing();
        }
    }
}
