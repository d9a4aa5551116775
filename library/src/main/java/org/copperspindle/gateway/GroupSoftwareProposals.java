package org.copperspindle.gateway;

import java.util.function.Consumer;

import org.copperspindle.version.SoftwareCommand;
import org.copperspindle.version.SoftwareInUseMessage;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;
import org.copperspindle.version.VersionResult;

/**
 * Proposals to the control group of a node with a disk.
 *
 * @param exchange knows this node's member
 * @param holder   holds what the group has committed
 */
record GroupSoftwareProposals(VersionExchange exchange, VersionHolder holder) implements SoftwareProposals {

    @Override
    public long ledTerm() {
        return exchange.status().leads() ? exchange.status().term() : 0;
    }

    @Override
    public boolean isReadable() {
        return exchange.isSoftwareReadable();
    }

    @Override
    public SoftwareInUseMessage held() {
        return holder.software();
    }

    @Override
    public void propose(SoftwareCommand change, Consumer<VersionResult> callback) {
        exchange.changeSoftware(change, callback);
    }
}
