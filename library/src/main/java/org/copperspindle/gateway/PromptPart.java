package org.copperspindle.gateway;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id     identifies its text
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
