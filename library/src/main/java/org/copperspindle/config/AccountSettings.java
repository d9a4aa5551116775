package org.copperspindle.config;

import java.time.Duration;
import java.util.List;

/**
 * Settings of a client account: its credentials, its share of the capacity and its limits.
 *
 * @param name          its name
 * @param keyDigest     SHA-256 of its bearer key, in lower-case hexadecimal; the key itself is never stored
 * @param weight        share of capacity relative to other accounts of the same priority
 * @param ratePerSecond permitted requests per second over the whole fleet
 * @param highestPriority       highest priority that its requests may have
 * @param maxDeadline   longest deadline that its requests may set
 * @param pipelines     pipelines and services that it may call
 */
public record AccountSettings(
        String name,
        String keyDigest,
        double weight,
        double ratePerSecond,
        Priority highestPriority,
        Duration maxDeadline,
        List<String> pipelines) {}
