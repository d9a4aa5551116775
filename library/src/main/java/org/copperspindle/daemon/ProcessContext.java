package org.copperspindle.daemon;

import java.net.InetSocketAddress;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.measure.MetricsRegistry;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireTransport;

/**
 * Objects that the roles of one process share.
 *
 * @param settings    settings of the process
 * @param ring        decision ring of the process
 * @param timers      timer service
 * @param transport   transport between the system's own processes
 * @param metrics     metrics of the process
 * @param wireAddress address at which other processes reach this one
 * @param incarnation incarnation of the process, normally larger after each restart
 */
record ProcessContext(
        ProcessSettings settings,
        DecisionRing ring,
        TimerService timers,
        WireTransport transport,
        MetricsRegistry metrics,
        InetSocketAddress wireAddress,
        long incarnation) {}
