package org.copperspindle.measure;

import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * The metrics of one process. Names start with {@code copperspindle}; what the system counts anyway is read when it is
 * scraped, so that counting costs nothing more.
 */
public final class MetricsRegistry implements AutoCloseable {

    private static final String PREFIX = "copperspindle.";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Publishes a number that only grows.
     *
     * @param name        words separated by dots
     * @param description for people
     * @param source      what counts; kept alive by this registry
     * @param value       reads it, from any thread
     * @param <T>         type of the source
     */
    public <T> void counter(String name, String description, T source, ToDoubleFunction<T> value) {
        counter(name, description, source, value, new String[0]);
    }

    /**
     * Publishes a number that only grows, one of several that differ by labels.
     *
     * @param name        words separated by dots
     * @param description for people
     * @param source      what counts; kept alive by this registry
     * @param value       reads it, from any thread
     * @param labels      names and values of the labels in turn
     * @param <T>         type of the source
     */
    public <T> void counter(String name, String description, T source, ToDoubleFunction<T> value, String... labels) {
        FunctionCounter.builder(PREFIX + name, source, value)
                .description(description)
                .tags(labels)
                .register(registry);
    }

    /**
     * Publishes a number that goes up and down.
     *
     * @param name        words separated by dots
     * @param description for people
     * @param source      what is measured; kept alive by this registry
     * @param value       reads it, from any thread
     * @param <T>         type of the source
     */
    public <T> void gauge(String name, String description, T source, ToDoubleFunction<T> value) {
        gauge(name, description, source, value, new String[0]);
    }

    /**
     * Publishes a number that goes up and down, one of several that differ by labels.
     *
     * @param name        words separated by dots
     * @param description for people
     * @param source      what is measured; kept alive by this registry
     * @param value       reads it, from any thread
     * @param labels      names and values of the labels in turn
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
     * @return Prometheus text format
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
