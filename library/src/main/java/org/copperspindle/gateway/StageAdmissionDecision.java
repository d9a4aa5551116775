package org.copperspindle.gateway;

import java.util.Optional;

/**
 * A verdict of the gate before the stages, with what decided it.
 *
 * @param verdict       what becomes of the request
 * @param finishMillis  when its first event would come, from now, by what the pools tell
 * @param leftMillis    time left to its objective; below zero if that has passed
 * @param held          requests that this node held already
 * @param reckonedNanos how long its stages would take by the loads of their pools alone
 * @param inNeed        route of a more urgent kind that needs the room; empty if none does
 */
record StageAdmissionDecision(
        StageAdmissionVerdict verdict,
        long finishMillis,
        long leftMillis,
        int held,
        long reckonedNanos,
        Optional<String> inNeed) {}
