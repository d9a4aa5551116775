package org.copperspindle.measure;

import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Registry of the metrics of one process. Names start with {@code copperspindle}. Values that the system counts anyway
 * are read on each scrape, so that publishing them adds no cost.
 */
public final class MetricsRegistry implements AutoCloseable {

    private static final String PREFIX = "copperspindle.";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Registers a counter.
     *
     * @param name        dot-separated name without the common prefix
     * @param description help text
     * @param source      object that counts; kept alive by this registry
     * @param value       reads the value; called from any thread
     * @param <T>         type of the source
     */
    public <T> void counter(String name, String description, T source, ToDoubleFunction<T> value) {
        counter(name, description, source, value, new String[0]);
    }

    /**
     * Registers a counter with labels.
     *
     * @param name        dot-separated name without the common prefix
     * @param description help text
     * @param source      object that counts; kept alive by this registry
     * @param value       reads the value; called from any thread
     * @param labels      alternating names and values of the labels
     * @param <T>         type of the source
     */
    public <T> void counter(String name, String description, T source, ToDoubleFunction<T> value, String... labels) {
        FunctionCounter.builder(PREFIX + name, source, value)
                .description(description)
                .tags(labels)
                .register(registry);
    }

    /**
     * Registers a gauge.
     *
     * @param name        dot-separated name without the common prefix
     * @param description help text
     * @param source      measured object; kept alive by this registry
     * @param value       reads the value; called from any thread
     * @param <T>         type of the source
     */
    public <T> void gauge(String name, String description, T source, ToDoubleFunction<T> value) {
        gauge(name, description, source, value, new String[0]);
    }

    /**
     * Registers a gauge with labels.
     *
     * @param name        dot-separated name without the common prefix
     * @param description help text
     * @param source      measured object; kept alive by this registry
     * @param value       reads the value; called from any thread
     * @param labels      alternating names and values of the labels
     * @param <T>         type of the source
     */
    public <T> void gauge(String name, String description, T source, ToDoubleFunction<T> value, String... labels) {
        Gauge.builder(PREFIX + name, source, value)
                .description(description)
                .strongReference(true)
                .tags(labels)
                .register(registry);
    }

    /**
     * Returns all metrics.
     *
     * @return the metrics in the Prometheus text format
     */
    public String scrape() {
        return registry.scrape();
    }

    @Override
    public void close() {
        registry.close();
    }

    MeterRegistry meters() {
        return registry;
    }
}
