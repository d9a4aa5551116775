package org.copperspindle.gateway;

/**
 * Counts the attempts and stage runs of a request.
 *
 * @param attempts   attempts that reached an upstream
 * @param unsent     attempts that reached none
 * @param stageRuns  times its stages were started
 * @param mayHaveRun whether an upstream may have worked on it
 */
record RequestProgress(int attempts, int unsent, int stageRuns, boolean mayHaveRun) {}
