package org.copperspindle.config;

import java.time.Duration;
import java.util.List;

/**
 * A client account.
 *
 * @param name          its name
 * @param keyDigest     SHA-256 of its bearer key, in lower-case hexadecimal; the key itself is never stored
 * @param weight        share of capacity relative to other accounts of the same priority
 * @param ratePerSecond requests per second over the whole fleet
 * @param highest       highest priority that it may ask for
 * @param maxDeadline   longest deadline that it may ask for
 * @param pipelines     pipelines and services that it may call
 */
public record AccountSettings(
        String name,
        String keyDigest,
        double weight,
        double ratePerSecond,
        Priority highest,
        Duration maxDeadline,
        List<String> pipelines) {}
