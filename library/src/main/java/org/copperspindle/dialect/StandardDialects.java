package org.copperspindle.dialect;

import org.copperspindle.batch.StagePort;
import org.copperspindle.direct.UpstreamPort;
import org.copperspindle.gateway.CallerDialect;
import org.copperspindle.gateway.ControlDesk;
import org.copperspindle.gateway.GatewayDialects;
import org.copperspindle.gateway.UpstreamDialect;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.time.TimerService;

/**
 * All that is spoken where a deployment has no ways of its own.
 */
public final class StandardDialects implements GatewayDialects {

    @Override
    public CallerDialect callers() {
        return new HeaderCallers(HeaderNames.STANDARD);
    }

    @Override
    public UpstreamDialect upstreams() {
        return new HeaderUpstreams(HeaderNames.STANDARD);
    }

    @Override
    public RouteTableReader tables() {
        return new StandardTables();
    }

    @Override
    public StagePort stages(UpstreamPort port, TimerService timers) {
        return new StageCalls(new StandardStageFormat(), HeaderNames.STANDARD, port, timers);
    }

    @Override
    public HttpRequestHandler control(ControlDesk desk) {
        return new HttpControlDoor(desk, new StandardControlFormat());
    }
}
