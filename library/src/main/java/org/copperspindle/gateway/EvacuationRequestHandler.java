package org.copperspindle.gateway;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.version.EvacuationCommand;
import org.copperspindle.version.EvacuationsMessage;

/**
 * What operators may ask of a node about the evacuation of failure domains. Network thread only; answers come on it.
 */
public final class EvacuationRequestHandler {

    private static final Logger LOGGER = LogManager.getLogger(EvacuationRequestHandler.class);

    private final GroupQuestions group;
    private final Supplier<EvacuationsMessage> held;
    private final KnownDomains domains;

    EvacuationRequestHandler(GroupQuestions group, Supplier<EvacuationsMessage> held, KnownDomains domains) {
        this.group = group;
        this.held = held;
        this.domains = domains;
    }

    /**
     * Has a failure domain evacuated, or used again.
     *
     * @param order  the order; its name need not be known
     * @param answer told how it ended
     */
    public void order(EvacuationCommand order, Consumer<ControlResponse> answer) {
        // What is held was known to the node that took the order.
        if (!domains.isKnown(order.failureDomain()) && !held.get().contains(order.failureDomain())) {
            LOGGER.info("event=evacuation-refused domain=\"{}\" reason=unknown", order.failureDomain());
            answer.accept(new ControlResponse.Invalid("no failure domain of that name"));
            return;
        }
        group.ask((member, ended) -> member.evacuate(order, ended), result -> {
            LOGGER.info(
                    "event=evacuation-asked domain={} begins={} result={}",
                    order.failureDomain(),
                    order.begins(),
                    result.getClass().getSimpleName());
            answer.accept(result);
        });
    }

    /**
     * Lists the failure domains that are evacuated.
     *
     * @return as this node knows them
     */
    public EvacuationsMessage held() {
        return held.get();
    }
}
