package org.copperspindle.gateway;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id     identity of its text
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
