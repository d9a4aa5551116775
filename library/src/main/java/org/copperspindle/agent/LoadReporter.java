package org.copperspindle.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.copperspindle.wire.Peer;

/**
 * Tells subscribed entries the load and the clock of the agent: at each interval while the load changes, at every fifth
 * one while it does not. Outcomes carry the load too, so that only entries that sent nothing depend on this.
 */
final class LoadReporter {

    private static final int QUIET_INTERVALS = 5;

    private final Map<Peer, Sent> subscribers = new LinkedHashMap<>();
    private long sequence;

    /** An entry subscribes: it gets its first report at once. */
    void subscribe(Peer peer, LoadReportMessage report) {
        if (peer.send(numbered(report))) {
            subscribers.put(peer, new Sent(report, 0));
        }
    }

    /** An interval passed. Connections that have closed are forgotten. */
    void report(LoadReportMessage report) {
        Iterator<Map.Entry<Peer, Sent>> all = subscribers.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Peer, Sent> entry = all.next();
            Sent sent = entry.getValue();
            if (sent.sameLoad(report) && sent.quiet() + 1 < QUIET_INTERVALS) {
                entry.setValue(new Sent(report, sent.quiet() + 1));
            } else if (entry.getKey().send(numbered(report))) {
                entry.setValue(new Sent(report, 0));
            } else {
                all.remove();
            }
        }
    }

    /** Something changed that entries should know at once. */
    void announce(LoadReportMessage report) {
        subscribers.entrySet().removeIf(entry -> !entry.getKey().send(numbered(report)));
        subscribers.replaceAll((peer, sent) -> new Sent(report, 0));
    }

    int subscribers() {
        return subscribers.size();
    }

    private LoadReportMessage numbered(LoadReportMessage report) {
        return report.numbered(++sequence);
    }

    private record Sent(LoadReportMessage report, int quiet) {

        private boolean sameLoad(LoadReportMessage other) {
            return report.inFlight() == other.inFlight()
                    && report.queued() == other.queued()
                    && report.reportedLoad() == other.reportedLoad()
                    && report.refusing() == other.refusing();
        }
    }
}
