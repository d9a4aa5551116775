package org.copperspindle.gateway;

import java.util.function.Consumer;

import org.copperspindle.version.SoftwareCommand;
import org.copperspindle.version.SoftwareInUseMessage;
import org.copperspindle.version.VersionResult;

/**
 * The control group as its leader proposes changes of the software versions in use to it.
 */
interface SoftwareProposals {

    /**
     * Returns the term in which this node leads.
     *
     * @return 0 if it doesn't lead
     */
    long ledTerm();

    /**
     * Returns whether all members can read changes.
     *
     * @return false while one may be of a build that can't
     */
    boolean isReadable();

    /**
     * Returns the versions in use.
     *
     * @return the newest list that this node holds
     */
    SoftwareInUseMessage held();

    /**
     * Proposes a change.
     *
     * @param change   the change
     * @param callback receives the result
     */
    void propose(SoftwareCommand change, Consumer<VersionResult> callback);
}
