package org.copperspindle.gateway;

import org.copperspindle.batch.StagePort;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DepartureListener;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.time.TimerService;

/**
 * Formats in which the callers, upstreams and operators of a deployment communicate with a node.
 */
public interface GatewayDialects {

    /**
     * Returns the format of requests and refusals.
     *
     * @return the dialect
     */
    CallerDialect callerDialect();

    /**
     * Returns the format of calls to upstreams.
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
     * Creates the port that calls the upstreams of stage pools.
     *
     * @param port       sends calls
     * @param timers     timers on the network thread
     * @param departures receives evidence in responses that upstreams have left
     * @return the port
     */
    StagePort stagePort(UpstreamPort port, TimerService timers, DepartureListener departures);

    /**
     * Creates the control endpoint for operators and upstreams.
     *
     * @param handler handles their requests
     * @return the handler of HTTP requests to the endpoint
     */
    HttpRequestHandler controlEndpoint(ControlRequestHandler handler);
}
