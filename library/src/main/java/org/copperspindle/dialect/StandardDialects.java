package org.copperspindle.dialect;

import org.copperspindle.batch.StagePort;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.discovery.DepartureListener;
import org.copperspindle.gateway.CallerDialect;
import org.copperspindle.gateway.ControlRequestHandler;
import org.copperspindle.gateway.GatewayDialects;
import org.copperspindle.gateway.UpstreamDialect;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.time.TimerService;

/**
 * The default formats, for deployments without formats of their own.
 */
public final class StandardDialects implements GatewayDialects {

    @Override
    public CallerDialect callerDialect() {
        return new HeaderCallerDialect(HeaderNames.STANDARD);
    }

    @Override
    public UpstreamDialect upstreamDialect() {
        return new HeaderUpstreamDialect(HeaderNames.STANDARD);
    }

    @Override
    public RouteTableReader tableReader() {
        return new StandardTableReader();
    }

    @Override
    public StagePort stagePort(UpstreamPort port, TimerService timers, DepartureListener departures) {
        return new JsonStagePort(new StandardStageFormat(), HeaderNames.STANDARD, port, timers, departures);
    }

    @Override
    public HttpRequestHandler controlEndpoint(ControlRequestHandler handler) {
        return new HttpControlEndpoint(handler, new StandardControlFormat());
    }
}
