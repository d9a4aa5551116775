package org.copperspindle.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * What a soak runs.
 *
 * @param seed     decides every disturbance and its moment
 * @param duration time with disturbances; the recovery after it is not counted
 * @param nodes    node processes, 2 or more; all but the last one or two have a data folder, so that an odd number of them votes
 * @param callers  callers at work at the same time
 * @param folder   where settings, data and logs go
 * @param fatal    whether a caller sends one request again and again that ends each upstream that runs it
 * @param fatalPart whether a caller sends requests of which no two are alike, with one part of their prompts that does the same
 * @param surges   whether a balancer hands most new connections to one node for some seconds, then to another one
 * @param evacuates whether the operator evacuates failure domains, and engines are cold after their start
 * @param needs    whether upstreams name limits and ask for rest
 * @param shortage whether stage pools run short under a flood, and their dispatchers and engines are disturbed
 * @param releases whether engines run two software versions at a time, and callers take streams up that break off
 * @param fleetKills whether all nodes are killed at once beside releases of engines, and callers come back to long streams
 * @param reuses   whether stage upstreams crash while results of theirs wait, and other upstreams use their addresses later
 * @param launcher words that start the command line, to which {@code run --settings FILE} is added
 */
public record SoakSettings(
        long seed,
        Duration duration,
        int nodes,
        int callers,
        Path folder,
        boolean fatal,
        boolean fatalPart,
        boolean surges,
        boolean evacuates,
        boolean needs,
        boolean shortage,
        boolean releases,
        boolean fleetKills,
        boolean reuses,
        List<String> launcher) {

    /** Copies the list. */
    public SoakSettings {
        launcher = List.copyOf(launcher);
    }

    /** Returns whether the second stage has a pool of its own. */
    boolean hasLaterPool() {
        return shortage || reuses;
    }

    /** Returns how many nodes have a data folder; they have the lowest numbers. */
    int durableNodes() {
        return nodes - 1 - nodes % 2;
    }
}
