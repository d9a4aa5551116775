package org.copperspindle.demo;

import org.copperspindle.config.PoolSettings;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.emulator.FakeUpstream;

/**
 * An upstream of the demonstration: a fake server and its agent.
 *
 * @param id    upstream id
 * @param pool  pool of the upstream
 * @param fake  the fake server
 * @param agent the agent process
 */
record DemoUpstream(String id, PoolSettings pool, FakeUpstream fake, CopperspindleProcess agent) {

    /** Stops gracefully, as in planned maintenance: new work is refused, work in progress is finished. */
    void drain() throws InterruptedException {
        agent.stop();
    }

    /** Stops abruptly, as when a VM is lost: agent and upstream at once, with work in progress. */
    void kill() {
        agent.kill();
        fake.close();
    }
}
