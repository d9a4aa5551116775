package org.copperspindle.soak;

/**
 * One disturbance of a plan.
 *
 * @param atMillis  when it begins, from the start of the plan
 * @param forMillis how long it lasts
 * @param kind      what is done
 * @param target    to which node or upstream, by number
 */
record Disturbance(long atMillis, long forMillis, DisturbanceKind kind, int target) {}
