package org.copperspindle.entry;

import java.util.SplittableRandom;

/**
 * Probabilities of faults in a simulated deployment, from 0 to 1 per occasion.
 *
 * @param drop         a message between entry and agent is lost
 * @param duplicate    a message arrives twice
 * @param reorder      a message overtakes others
 * @param cut          a message is the last one of its connection
 * @param agentCrash   an agent crashes after it received a message, and restarts as another incarnation
 * @param entryCrash   an entry crashes after it received a request or a message
 * @param controlLoss  a message to control, or its reply, is lost
 * @param failover     the leader changes at a message, without reporting the result
 * @param upstream     a call to the upstream fails in one of several ways
 * @param callerLeaves a caller disconnects early
 */
record SimulatedFaults(
        double drop,
        double duplicate,
        double reorder,
        double cut,
        double agentCrash,
        double entryCrash,
        double controlLoss,
        double failover,
        double upstream,
        double callerLeaves) {

    static final SimulatedFaults NONE = new SimulatedFaults(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    static final SimulatedFaults NETWORK = new SimulatedFaults(.03, .1, .1, .05, 0, 0, 0, 0, 0, 0);
    static final SimulatedFaults CRASHES = new SimulatedFaults(0, 0, 0, .02, .04, .04, 0, 0, 0, .05);
    static final SimulatedFaults CONTROL = new SimulatedFaults(0, 0, 0, .02, 0, .02, .25, .1, 0, 0);
    static final SimulatedFaults UPSTREAMS = new SimulatedFaults(0, 0, 0, 0, 0, 0, 0, 0, .3, .05);
    static final SimulatedFaults ALL = new SimulatedFaults(.02, .05, .05, .03, .02, .02, .1, .05, .15, .03);

    static boolean occurs(SplittableRandom random, double chance) {
        return chance > 0 && random.nextDouble() < chance;
    }
}
