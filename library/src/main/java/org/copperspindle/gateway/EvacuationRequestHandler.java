package org.copperspindle.gateway;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.version.EvacuationCommand;
import org.copperspindle.version.EvacuationsMessage;

/**
 * Handles the requests of operators to evacuate failure domains. Runs on the network thread only, and callbacks run
 * there as well.
 */
public final class EvacuationRequestHandler {

    private static final Logger LOGGER = LogManager.getLogger(EvacuationRequestHandler.class);

    private final ControlGroupClient controlGroup;
    private final Supplier<EvacuationsMessage> current;
    private final KnownFailureDomains knownDomains;

    EvacuationRequestHandler(
            ControlGroupClient controlGroup, Supplier<EvacuationsMessage> current, KnownFailureDomains knownDomains) {
        this.controlGroup = controlGroup;
        this.current = current;
        this.knownDomains = knownDomains;
    }

    /**
     * Submits the beginning or the end of an evacuation to the control group.
     *
     * @param command  the command; refused if its failure domain is unknown
     * @param callback receives the result
     */
    public void submit(EvacuationCommand command, Consumer<ControlResponse> callback) {
        // The failure domain of a recorded evacuation was known to the node that accepted the command.
        if (!knownDomains.isKnown(command.failureDomain()) && !current.get().contains(command.failureDomain())) {
            LOGGER.info("event=evacuation-refused domain=\"{}\" reason=unknown", command.failureDomain());
            callback.accept(new ControlResponse.Invalid("no failure domain of that name"));
            return;
        }
        controlGroup.submit((member, outcome) -> member.evacuate(command, outcome), result -> {
            LOGGER.info(
                    "event=evacuation-asked domain={} begins={} result={}",
                    command.failureDomain(),
                    command.isEvacuation(),
                    result.getClass().getSimpleName());
            callback.accept(result);
        });
    }

    /**
     * Returns the failure domains that are evacuated.
     *
     * @return the evacuations known to this node
     */
    public EvacuationsMessage current() {
        return current.get();
    }
}
