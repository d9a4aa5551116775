package org.copperspindle.gateway;

/**
 * What was done for a request.
 *
 * @param attempts   attempts that reached an upstream
 * @param unsent     attempts that reached none
 * @param stageRuns  how often its stages were begun
 * @param mayHaveRun whether an upstream may have worked on it
 */
record RequestProgress(int attempts, int unsent, int stageRuns, boolean mayHaveRun) {}
