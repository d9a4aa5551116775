package org.copperspindle.gateway;

import org.copperspindle.batch.StagePort;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.time.TimerService;

/**
 * What a deployment's callers, upstreams and operators speak.
 */
public interface GatewayDialects {

    /**
     * Returns how callers write.
     *
     * @return the dialect
     */
    CallerDialect callerDialect();

    /**
     * Returns how upstreams are told what to run.
     *
     * @return the dialect
     */
    UpstreamDialect upstreamDialect();

    /**
     * Returns the reader of configurations.
     *
     * @return the reader
     */
    RouteTableReader tableReader();

    /**
     * Makes what speaks to the upstreams of stage pools.
     *
     * @param port   sends calls
     * @param timers time on the network thread
     * @return the port
     */
    StagePort stagePort(UpstreamPort port, TimerService timers);

    /**
     * Makes the door for operators and upstreams.
     *
     * @param desk what they may ask for
     * @return answers their requests
     */
    HttpRequestHandler controlEndpoint(ControlRequestHandler desk);
}
