package org.copperspindle.limits;

import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.RoutingRequest;

/**
 * An attempt that waits for an upstream.
 *
 * @param request request of the attempt
 * @param routing requirements of the attempt
 */
record Waiter(PipelineRequest request, RoutingRequest routing) {}
