package org.copperspindle.emulator;

/**
 * One execution as a fake saw it.
 *
 * @param kind      interface of the fake
 * @param port      port of the fake, which tells fakes of one kind apart
 * @param token     what the caller named the work in its body
 * @param requestId request that the call named in {@code X-Request-Id}; empty if it named none
 * @param attemptId attempt that the call named in {@code Idempotency-Key}; empty if it named none
 */
public record Execution(FakeKind kind, int port, String token, String requestId, String attemptId) {}
