package org.copperspindle.entry;

import java.time.Duration;
import java.util.Optional;

import org.copperspindle.config.Priority;

/**
 * One request as a caller sent it, before admission.
 *
 * @param pipeline  pipeline or service named in the path
 * @param service   whether the path names a service
 * @param bearer    bearer key, empty if none was sent
 * @param key       idempotency key
 * @param deadline  requested deadline
 * @param priority  requested priority
 * @param streaming whether the caller accepts server-sent events
 * @param body      whole body
 */
public record CallerRequest(
        String pipeline,
        boolean service,
        String bearer,
        Optional<String> key,
        Optional<Duration> deadline,
        Optional<Priority> priority,
        boolean streaming,
        byte[] body) {

    @Override
    public String toString() {
        // The generated form would print the bearer key into logs.
        return "CallerRequest[pipeline=" + pipeline + ", bytes=" + body.length + "]";
    }
}
