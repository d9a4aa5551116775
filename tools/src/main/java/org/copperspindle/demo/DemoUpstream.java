package org.copperspindle.demo;

import org.copperspindle.config.PoolSettings;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.emulator.FakeUpstream;

/**
 * One upstream of the demonstration: a fake and the agent beside it.
 *
 * @param id    its identity
 * @param pool  pool that it belongs to
 * @param fake  the fake
 * @param agent the agent
 */
record DemoUpstream(String id, PoolSettings pool, FakeUpstream fake, CopperspindleProcess agent) {

    /** Leaves as an operator's planned stop would: new work is refused, work in progress is finished. */
    void drain() throws InterruptedException {
        agent.stop();
    }

    /** Dies as a lost VM would: agent and upstream at once, whatever they are doing. */
    void kill() {
        agent.kill();
        fake.close();
    }
}
