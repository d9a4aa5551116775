package org.copperspindle.gateway;

import org.copperspindle.engineload.EnginePrompt;

/**
 * What the choice of an engine needs to know of a request.
 *
 * @param pool           name of the pool
 * @param prompt         prompt of the request
 * @param objectiveNanos latency objective of its route in nanoseconds
 * @param maxPauseNanos  longest time between events of a stream that is on time, 0 if the route has none
 */
record EngineDemand(String pool, EnginePrompt prompt, long objectiveNanos, long maxPauseNanos) {}
