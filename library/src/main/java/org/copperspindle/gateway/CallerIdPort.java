package org.copperspindle.gateway;

import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.direct.DirectCall;
import org.copperspindle.direct.DirectFailure;
import org.copperspindle.direct.DirectListener;
import org.copperspindle.direct.UpstreamPort;

/**
 * Rejects calls that bear an id and are not like a request of that id whose caller waits here, before they leave the node. An
 * upstream may run such a call as a request that nobody has sent. Bodies and other fields are not compared.
 */
final class CallerIdPort implements UpstreamPort {

    private static final Logger LOGGER = LogManager.getLogger(CallerIdPort.class);

    private final UpstreamPort port;
    private final CallerRequests requests;
    private final GatewayCounters counters;

    /**
     * Creates the check.
     *
     * @param port     sends the calls
     * @param requests the requests in progress
     * @param counters counts the rejected calls
     */
    CallerIdPort(UpstreamPort port, CallerRequests requests, GatewayCounters counters) {
        this.port = port;
        this.requests = requests;
        this.counters = counters;
    }

    @Override
    public CallHandle call(DirectCall call, DirectListener listener) {
        // All ids of a call are that of its request.
        Optional<RequestDifference> difference = call.sentIds().stream()
                .findFirst()
                .flatMap(id -> requests.findDifference(id, call.method(), call.uri()));
        if (difference.isEmpty()) {
            return port.call(call, listener);
        }
        counters.recordRejectedCall(difference.get());
        logRejected(difference.get(), call);
        listener.onFailure(DirectFailure.rejected(difference.get().label() + "-of-no-caller"));
        return reason -> {};
    }

    private static void logRejected(RequestDifference difference, DirectCall call) {
        LOGGER.error(
                "event=call-of-no-caller differs={} id={} upstream={} address={} method={} uri={}",
                difference.label(),
                call.requestId(),
                call.upstream(),
                call.address(),
                call.method(),
                call.uri());
    }
}
