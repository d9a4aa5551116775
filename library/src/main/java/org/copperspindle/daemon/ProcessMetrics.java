package org.copperspindle.daemon;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.entry.EntryCounters;
import org.copperspindle.entry.EntryService;
import org.copperspindle.http.HttpCounters;
import org.copperspindle.measure.MetricsRegistry;
import org.copperspindle.wire.WireCounters;

/**
 * Registers the counters of a process as metrics.
 */
final class ProcessMetrics {

    private ProcessMetrics() {}

    static void publish(MetricsRegistry metrics, DecisionRing ring) {
        metrics.gauge("ring.depth", "Tasks waiting for the decision thread", ring, DecisionRing::depth);
        metrics.counter("ring.failures", "Decisions that failed unexpectedly", ring, DecisionRing::failures);
    }

    static void publish(MetricsRegistry metrics, WireCounters wire) {
        metrics.counter("wire.messages.sent", "Messages sent to peers", wire, WireCounters::messagesSent);
        metrics.counter("wire.bytes.sent", "Bytes sent to peers", wire, WireCounters::bytesSent);
        metrics.counter("wire.messages.received", "Messages received", wire, WireCounters::messagesReceived);
        metrics.counter("wire.bytes.received", "Bytes received", wire, WireCounters::bytesReceived);
        metrics.counter("wire.frames.malformed", "Frames that were no message", wire, WireCounters::malformedFrames);
        metrics.counter("wire.frames.oversized", "Frames over the limit", wire, WireCounters::oversizedFrames);
        metrics.counter("wire.connections.refused", "Connections closed by us", wire, WireCounters::closedConnections);
        metrics.counter("wire.peers.silent", "Peers taken for dead", wire, WireCounters::silentPeers);
        metrics.counter("wire.messages.refused", "Messages not sent", wire, WireCounters::messagesRefused);
        metrics.counter("wire.reading.pauses", "Pauses because the ring was full", wire, WireCounters::pauses);
    }

    static void publish(MetricsRegistry metrics, EntryService entry) {
        EntryCounters counters = entry.counters();
        metrics.gauge("lease.held", "1 while the lease is held", entry, e -> e.leaseHeld() ? 1 : 0);
        metrics.gauge("config.version", "Version in force", entry, EntryService::configVersion);
        metrics.counter("dropped.chunks", "Late, doubled or foreign", counters, EntryCounters::droppedChunks);
        metrics.counter("dropped.outcomes", "Late, doubled or foreign", counters, EntryCounters::droppedOutcomes);
        metrics.counter("agent.links.lost", "Connections to agents that ended", counters, EntryCounters::linksLost);
        metrics.counter("agent.messages.unsent", "Messages not sent", counters, EntryCounters::unsentMessages);
        metrics.counter("callers.slow", "Answers ended, caller too slow", counters, EntryCounters::slowCallers);
    }

    static void publish(MetricsRegistry metrics, String listener, HttpCounters http) {
        String prefix = "http." + listener + ".";
        metrics.gauge(prefix + "connections", "Open connections", http, HttpCounters::connections);
        metrics.gauge(prefix + "in.progress", "Requests being answered", http, HttpCounters::inProgress);
        metrics.counter(prefix + "requests", "Requests begun", http, HttpCounters::requests);
        metrics.counter(prefix + "requests.refused", "Refused by form", http, HttpCounters::refusedRequests);
        metrics.counter(prefix + "connections.refused", "Too many", http, HttpCounters::refusedConnections);
        metrics.counter(prefix + "senders.slow", "Requests not sent in time", http, HttpCounters::slowSenders);
        metrics.counter(prefix + "readers.slow", "Answers not read in time", http, HttpCounters::slowReaders);
        metrics.counter(prefix + "answers.late", "Answers dropped after the end", http, HttpCounters::lateResponses);
        metrics.counter(prefix + "handler.failures", "Unexpected failures", http, HttpCounters::handlerFailures);
    }
}
