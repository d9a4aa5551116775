package org.copperspindle.gateway;

import java.util.function.IntSupplier;

import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;

/**
 * Keeps the retry budget informed of the number of nodes that share it.
 */
final class RetryBudgetScaling implements MeshListener {

    private final SharedRetryBudget budget;
    private final IntSupplier connected;

    /**
     * Creates the listener.
     *
     * @param budget    the budget of this node
     * @param connected supplies the number of other nodes that are connected
     */
    RetryBudgetScaling(SharedRetryBudget budget, IntSupplier connected) {
        this.budget = budget;
        this.connected = connected;
    }

    @Override
    public void onNodeUp(MeshNode node) {
        budget.setNodeCount(connected.getAsInt() + 1);
    }

    @Override
    public void onNodeDown(MeshNode node) {
        budget.setNodeCount(connected.getAsInt() + 1);
    }
}
