package org.copperspindle.admission;

import org.copperspindle.route.ClientAccount;

/**
 * A request that waits at the controller for the start of its stages.
 *
 * @param node    node that received the request from its caller
 * @param id      id of the request at that node
 * @param request stages, times and rank of the request, on the controller's clock
 * @param weight  share of its client account relative to other accounts, see {@link ClientAccount}; above 0
 */
public record StartRequest(String node, long id, StagedRequest request, double weight) {}
