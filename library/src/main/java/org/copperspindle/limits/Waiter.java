package org.copperspindle.limits;

import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.RoutingRequest;

/**
 * One attempt in line for an upstream.
 *
 * @param request request that it is made for
 * @param routing what it needs
 */
record Waiter(PipelineRequest request, RoutingRequest routing) {}
