package org.copperspindle.gateway;

import java.util.Optional;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.placement.PlacementReason;

/**
 * The upstream that was chosen for a request.
 *
 * @param upstream  the upstream
 * @param placement why that engine; empty if it was not chosen by the loads of the engines
 */
record ChosenUpstream(UpstreamRecord upstream, Optional<PlacementReason> placement) {}
