package org.copperspindle.daemon;

import java.net.InetSocketAddress;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.measure.MetricsRegistry;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireTransport;

/**
 * What the roles of one process share.
 *
 * @param settings    settings of the process
 * @param ring        its decision ring
 * @param timers      time
 * @param transport   network between the system's own processes
 * @param metrics     what the process publishes about itself
 * @param wireAddress where other processes reach this one
 * @param incarnation number of this life of the process, larger for each restart
 */
record ProcessContext(
        ProcessSettings settings,
        DecisionRing ring,
        TimerService timers,
        WireTransport transport,
        MetricsRegistry metrics,
        InetSocketAddress wireAddress,
        long incarnation) {}
