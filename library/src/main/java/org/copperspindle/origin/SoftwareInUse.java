package org.copperspindle.origin;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * Which software versions may have begun the streams that callers can still take up. Must be used on the network thread.
 */
public interface SoftwareInUse {

    /**
     * Returns whether an upstream may begin streams that callers may take up elsewhere.
     *
     * @param upstream the upstream
     * @return false while other nodes may not know that its version is in use
     */
    boolean mayBegin(UpstreamRecord upstream);

    /**
     * Returns whether streams of a pool can only be told apart by their records.
     *
     * @param pool name of the pool
     * @return true if more than one version may have begun them
     */
    boolean isMixed(String pool);

    /**
     * Finds the only version that may have begun a stream without a record.
     *
     * @param pool     name of the pool
     * @param views    what this node and the nodes that would hold a record know
     * @param listener receives the version once, perhaps before this returns; empty if there are several, or if it is not
     *     known whether there are
     */
    void findOnly(String pool, List<OriginView> views, Consumer<Optional<SoftwareVersion>> listener);
}
