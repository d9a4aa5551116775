package org.copperspindle.config;

/**
 * Settings of one stage of a pipeline.
 *
 * @param name       its name, unique in the pipeline
 * @param pool       pool whose upstreams run it
 * @param model      requested model; empty for plain services
 * @param repeatable whether an attempt may be dispatched again when its outcome is unknown
 * @param path       HTTP path on the upstream; empty for the default path of the pool's kind
 */
public record StageSettings(String name, String pool, String model, boolean repeatable, String path) {}
